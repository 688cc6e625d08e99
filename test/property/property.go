// Package property configures property-based tests.
//
// # Usage
//
//	func TestMain(m *testing.M) { property.Main(m, "5000") }
package property

import (
	"flag"
	"os"
	"testing"
)

// ciSeed makes results in CI reproducible.
const ciSeed = "20261202"

// Main runs a package's tests with the given number of checks for each property. In CI the
// seed is fixed; elsewhere it is random.
func Main(m *testing.M, checks string) {
	flag.Parse()
	set("rapid.checks", checks)
	if os.Getenv("CI") != "" {
		set("rapid.seed", ciSeed)
	}
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // unreachable: rapid defines the flag
	}
}
