// Package rapidseed makes property tests deterministic by fixing their seed.
package rapidseed

import (
	"flag"
	"strconv"
	"testing"
)

// seed is the default seed of every property test.
const seed = 1

// Run runs the tests of a package with a fixed seed and without fail files. The number of cases of each property test is
// checks, or rapid's default if -short is set. Flags on the command line take precedence.
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
