package events

import (
	"os"
	"testing"

	"github.com/orioleusher/orioleusher/internal/testfleet/rapidseed"
)

func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m, 1000)) }
