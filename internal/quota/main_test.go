package quota

import (
	"os"
	"testing"

	"github.com/orioleusher/orioleusher/internal/testfleet/rapidseed"
)

// simulationChecks is the number of interleavings that a full run checks.
const simulationChecks = 5000

func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m, simulationChecks)) }
