package testseed

import (
	"flag"
	"testing"
)

const (
	seedFlag   = "rapid.seed"
	randomSeed = "0" // the default of the flag, for which rapid picks a random seed
	fixedSeed  = "20261204"
)

// Run runs the tests of a package with a fixed seed for rapid, unless the flag -rapid.seed sets another one.
func Run(m *testing.M) int {
	flag.Parse()
	if seed := flag.Lookup(seedFlag); seed != nil && seed.Value.String() == randomSeed {
		if err := flag.Set(seedFlag, fixedSeed); err != nil {
			panic("testseed: " + err.Error())
		}
	}
	return m.Run()
}
