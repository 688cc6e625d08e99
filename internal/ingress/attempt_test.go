package ingress

import "testing"

// TestNothingIsGivenUpInAPlannedStop leaves a request where it runs once a stop has
// begun, however long it takes there.
func TestNothingIsGivenUpInAPlannedStop(t *testing.T) {
	in := &Ingress{}
	a := &attempt{in: in, request: &request{attempts: 2}, first: true}
	if !a.mayMoveOn() {
		t.Fatal("an overdue attempt of a repeatable request stays where it is")
	}
	in.Settle()
	if a.mayMoveOn() {
		t.Fatal("an attempt is given up in a planned stop")
	}
}
