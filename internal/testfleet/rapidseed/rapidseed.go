// Package rapidseed gives property tests the same verdict on each run.
package rapidseed

import (
	"flag"
	"strconv"
	"testing"
)

// seed is the seed of every property test unless the command line gives another.
const seed = 1

// Run runs the tests of a package with a fixed seed and without fail files. Checks is the number of cases of each
// property test unless -short is set. The command line's own flags win.
func Run(m *testing.M, checks int) int {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	values := map[string]string{"rapid.seed": strconv.Itoa(seed), "rapid.nofailfile": "true"}
	if !testing.Short() {
		values["rapid.checks"] = strconv.Itoa(checks)
	}
	for name, value := range values {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
