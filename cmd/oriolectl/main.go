// Command oriolectl is the operators' command-line tool.
package main

import (
	"os"

	"github.com/orioleusher/orioleusher/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
