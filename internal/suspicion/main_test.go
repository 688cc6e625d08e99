package suspicion_test

import (
	"testing"

	"github.com/tideliftd/tidelift/test/property"
)

func TestMain(m *testing.M) { property.Main(m, "200") }
