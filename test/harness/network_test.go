package harness

import "testing"

// TestFleetsOfOneMachineNeverMeet gives a second fleet the number of the first, as processes
// with neighbouring ids do.
func TestFleetsOfOneMachineNeverMeet(t *testing.T) {
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
		t.Fatalf("both have %v", first.net)
	}
}
