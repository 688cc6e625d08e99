package fleet_test

import (
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/internal/fleet"
)

const (
	digestOne = "8b1a9953c4611296a827abf8c47804d7e6c49c6b6a3b7ad0b3f0fbc5f6f4a1b2"
	digestTwo = "0a4d55a8d778e5022fab701977c5d840bbc486d0d4f0a1e7a8b0c3fd5b9fe4aa"
)

func TestParseCustomers(t *testing.T) {
	d, err := fleet.Parse("fleet.yaml", []byte(validYAML+"customers:\n  - {name: county-7, keys: ["+digestOne+", "+digestTwo+"], priority: 0, rate: 50, burst: 20}\n  - {name: school-2}\n"))
	if err != nil {
		t.Fatal(err)
	}
	county, school := d.Customers[0], d.Customers[1]
	if county.Priority == nil || *county.Priority != 0 || county.Rate != 50 || county.Burst != 20 || len(county.Keys) != 2 {
		t.Errorf("%+v", county)
	}
	if school.Priority != nil || school.Rate != 0 {
		t.Errorf("%+v", school)
	}
}

// TestEmptyListOfCustomersIsNotNone guards against a list without entries that counts as no list, without which callers need no
// key.
func TestEmptyListOfCustomersIsNotNone(t *testing.T) {
	for text, want := range map[string]bool{"": false, "customers:\n": false, "customers: []\n": true, "customers: [{name: a}]\n": true} {
		d, err := fleet.Parse("fleet.yaml", []byte(validYAML+text))
		if err != nil {
			t.Fatal(err)
		}
		if got := d.KeysRequired(); got != want {
			t.Errorf("%q: keys are required: %t, want %t", text, got, want)
		}
		if got := d.WithRegistered(nil, nil, nil).KeysRequired(); got != want {
			t.Errorf("%q, with what has registered: keys are required: %t, want %t", text, got, want)
		}
	}
}

func TestParseInvalidCustomers(t *testing.T) {
	tests := []struct{ name, customers, want string }{
		{"no name", "{rate: 1}", `customers[0].name is empty; want the customer's name`},
		{"a duplicate name", "{name: a}, {name: a}", `customers[1].name "a" stands twice; want each customer once`},
		{"a plain key", "{name: a, keys: [secret]}", `customers[0].keys[0] is not a SHA-256 digest; want the output of tidelift key`},
		{"a key of two customers", "{name: a, keys: [" + digestOne + "]}, {name: b, keys: [" + digestOne + "]}", `customers[1].keys[0] is already a key of customer "a"; want each key once`},
		{"a negative rate", "{name: a, rate: -1}", `customers[0].rate is -1; want 0 or more`},
		{"a negative burst", "{name: a, rate: 1, burst: -3}", `customers[0].burst is -3; want 0 or more`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := fleet.Parse("fleet.yaml", []byte(validYAML+"customers: ["+test.customers+"]\n"))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got %v, want %q", err, test.want)
			}
			if strings.Contains(err.Error(), "secret") || strings.Contains(err.Error(), digestOne) {
				t.Fatalf("the error contains a key or digest: %v", err)
			}
		})
	}
}
