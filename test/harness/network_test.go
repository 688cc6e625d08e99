package harness

import "testing"

// TestFleetsOnOneMachineHaveDistinctAddresses guards against two fleets with the same addresses when processes with neighbouring
// ids derive the same range.
func TestFleetsOnOneMachineHaveDistinctAddresses(t *testing.T) {
	number := fleets.Load()
	first, second := &Fleet{}, &Fleet{}
	for _, f := range []*Fleet{first, second} {
		fleets.Store(number)
		listener, err := f.claimNetwork()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
	}
	if first.net == second.net {
		t.Fatalf("both fleets have network %v", first.net)
	}
}
