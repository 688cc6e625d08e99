package registry_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/registry"
)

func registration(name, address string, sequence int64) registry.Registration {
	return registry.Registration{Name: name, Service: "lookup", Address: address, Slots: 4, Sequence: sequence}
}

func serving(r *registry.Registry) []string {
	serving := r.Serving()
	names := make([]string, 0, len(serving))
	for _, c := range serving {
		names = append(names, c.Name)
	}
	return names
}

func TestServing(t *testing.T) {
	draining := registration("a", "x", 9)
	draining.Draining = true
	type step func(*registry.Registry) bool
	in := func(c registry.Registration) step { return func(r *registry.Registry) bool { return r.Register(c) } }
	out := func(name string) step { return func(r *registry.Registry) bool { return r.Leave(name) } }
	tests := []struct {
		name    string
		steps   []step
		changed bool // by the last step
		want    string
	}{
		{"a first registration", []step{in(registration("a", "x", 1))}, true, "a"},
		{"the same again", []step{in(registration("a", "x", 1)), in(registration("a", "x", 2))}, false, "a"},
		{"one that is draining", []step{in(registration("a", "x", 1)), in(draining)}, true, ""},
		{"a late one after it left", []step{in(draining), in(registration("a", "x", 10))}, false, ""},
		{"a late one after it ended", []step{in(registration("a", "x", 3)), out("a"), in(registration("a", "x", 4))}, false, ""},
		{"one that only ends", []step{in(registration("a", "x", 1)), out("a")}, true, ""},
		{"one that ends and was never seen", []step{out("a"), in(registration("a", "x", 1))}, false, ""},
		{"a new incarnation at the address", []step{in(registration("a", "x", 7)), in(registration("b", "x", 1))}, true, "b"},
		{"a late one of the replaced incarnation", []step{in(registration("a", "x", 7)), in(registration("b", "x", 1)), in(registration("a", "x", 6))}, false, "b"},
		{"a late one of the replaced incarnation, sent at its end", []step{in(registration("a", "x", 7)), in(registration("b", "x", 1)), in(registration("a", "x", 8))}, false, "b"},
		{"the replaced incarnation, which goes on", []step{in(registration("a", "x", 7)), in(registration("b", "x", 1)), in(registration("a", "x", 8)), in(registration("a", "x", 9))}, true, "a"},
		{"two late ones of it with the new one between", []step{in(registration("a", "x", 7)), in(registration("b", "x", 1)), in(registration("a", "x", 8)), in(registration("b", "x", 2)), in(registration("a", "x", 9))}, false, "b"},
		{"the new one again after a late one of an unknown incarnation", []step{in(registration("b", "x", 1)), in(registration("a", "x", 6)), in(registration("b", "x", 2))}, true, "b"},
		{"the end of the replaced incarnation", []step{in(registration("a", "x", 7)), in(registration("b", "x", 1)), out("a")}, true, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := registry.New()
			changed := false
			for _, s := range test.steps {
				changed = s(r)
			}
			got := ""
			for _, name := range serving(r) {
				got += name
			}
			if got != test.want || changed != test.changed {
				t.Fatalf("%q serves, changed %t; want %q, %t", got, changed, test.want, test.changed)
			}
		})
	}
}

func TestRestoreLeftIsFinal(t *testing.T) {
	r := registry.New()
	if !r.RestoreLeft([]string{"a"}) || r.RestoreLeft([]string{"a"}) {
		t.Fatal("RestoreLeft does not report a new name exactly once")
	}
	if r.Register(registration("a", "x", 1)); len(r.Serving()) != 0 {
		t.Fatal("a backend server that left in an earlier incarnation of the daemon serves again")
	}
}

// TestLeavingIsFinal registers and leaves at random, and guards against a backend
// server that serves after it left and against two at one address.
func TestLeavingIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := registry.New()
		left := make(map[string]bool)
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		t.Repeat(map[string]func(*rapid.T){
			"check in": func(t *rapid.T) {
				c := registration(name.Draw(t, "name"), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address"), rapid.Int64Range(0, 9).Draw(t, "sequence"))
				c.Draining = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
				r.Register(c)
				left[c.Name] = left[c.Name] || c.Draining
			},
			"leave": func(t *rapid.T) {
				gone := name.Draw(t, "name")
				r.Leave(gone)
				left[gone] = true
			},
			"": func(t *rapid.T) {
				addresses := make(map[string]bool)
				for _, c := range r.Serving() {
					if left[c.Name] {
						t.Fatalf("%s serves after it left", c.Name)
					}
					if addresses[c.Address] {
						t.Fatalf("two serve at %s", c.Address)
					}
					addresses[c.Address] = true
				}
			},
		})
	})
}

// TestReplacedIncarnationsAreForgotten guards against unbounded memory when a
// backend server restarts at its address without reporting its end.
func TestReplacedIncarnationsAreForgotten(t *testing.T) {
	r := registry.New()
	const starts = 1000
	for n := range starts {
		r.Register(registration(fmt.Sprintf("i-%d", n), "x", 1))
	}
	if got := serving(r); len(got) != 1 || got[0] != fmt.Sprintf("i-%d", starts-1) {
		t.Fatalf("%v serve", got)
	}
	if r.Known() > 100 {
		t.Fatalf("%d incarnations are remembered", r.Known())
	}
}

// TestCheckRefusesOtherWriters guards against a registration of another writer that takes a known name to another service, and against
// one of the backend server itself that is refused.
func TestCheckRefusesOtherWriters(t *testing.T) {
	told := registration("a", "x", 1)
	told.StartedAt = 1000
	untold := registration("a", "x", 1)
	change := func(c registry.Registration, service string, startedAt int64) registry.Registration {
		c.Service, c.StartedAt, c.Sequence = service, startedAt, 900
		return c
	}
	for name, test := range map[string]struct {
		known, next registry.Registration
		accepted    bool
	}{
		"its next registration":                {told, change(told, "lookup", 1000), true},
		"without its start":                    {told, change(told, "lookup", 0), false},
		"of another service without its start": {told, change(told, "records", 0), false},
		"of another service":                   {told, change(told, "records", 1000), false},
		"of another service after a new start": {told, change(told, "records", 2000), true},
		"a start that was not told before":     {untold, change(untold, "lookup", 1000), true},
		"no start, as before":                  {untold, change(untold, "lookup", 0), true},
		"of another service, no start is told": {untold, change(untold, "records", 0), false},
	} {
		r := registry.New()
		r.Register(test.known)
		if err := r.Check(test.next); (err == nil) != test.accepted {
			t.Errorf("%s: got %v, want it accepted: %t", name, err, test.accepted)
		}
	}
}
