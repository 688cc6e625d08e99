package floor_test

import (
	"testing"

	"github.com/tideliftd/tidelift/test/property"
)

// TestMain raises the number of checks, since the relevant faults need several consecutive
// events.
func TestMain(m *testing.M) { property.Main(m, "5000") }
