// Package seed gives tests one fixed seed, so that every run of CI gives the same
// verdict. Set the environment variable BAMBOOSTEP_SEED to try another.
package seed

import (
	"flag"
	"fmt"
	"os"
	"strconv"
)

const (
	variable    = "BAMBOOSTEP_SEED"
	defaultSeed = 1
)

// Value returns the seed of this run and prints it.
func Value() uint64 {
	n := uint64(defaultSeed)
	if text := os.Getenv(variable); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			panic(fmt.Sprintf("%s=%q is not a whole number", variable, text))
		}
		n = parsed
	}
	fmt.Printf("seed %d\n", n)
	return n
}

// Rapid fixes the seed of package rapid. Call it from an init function of a test
// package that imports rapid; the flag -rapid.seed still wins.
func Rapid() {
	set("rapid.seed", strconv.FormatUint(Value(), 10))
	set("rapid.nofailfile", "true")
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
