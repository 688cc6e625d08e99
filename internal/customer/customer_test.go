package customer_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/internal/customer"
	"github.com/tideliftd/tidelift/internal/fleet"
)

func newTable(t testing.TB, count int) *customer.Table {
	t.Helper()
	customers := make([]fleet.Customer, 0, count)
	for i := range count {
		name := fmt.Sprintf("county-%d", i)
		customers = append(customers, fleet.Customer{Name: name, Keys: []string{customer.Digest(name + "-a"), customer.Digest(name + "-b")}})
	}
	table, err := customer.NewTable(customers)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestFind(t *testing.T) {
	table := newTable(t, 50)
	for key, want := range map[string]string{"county-7-a": "county-7", "county-7-b": "county-7", "county-49-a": "county-49"} {
		if found, ok := table.Find(key); !ok || found.Name != want {
			t.Errorf("%s: got %v, %v", key, found, ok)
		}
	}
	for _, key := range []string{"", "county-50-a", "county-7", strings.Repeat("x", customer.MaxKeyBytes+1), customer.Digest("county-7-a")} {
		if found, ok := table.Find(key); ok {
			t.Errorf("%q found as a key of %s, want none", key, found.Name)
		}
	}
}

func TestKeyOf(t *testing.T) {
	tests := []struct {
		name   string
		values []string
		key    string
		given  bool
	}{
		{"none", nil, "", false},
		{"as it should be", []string{"Bearer abc"}, "abc", true},
		{"another case", []string{"bearer abc"}, "abc", true},
		{"another scheme", []string{"Basic abc"}, "", true},
		{"no key", []string{"Bearer"}, "", true},
		{"two", []string{"Bearer abc", "Bearer def"}, "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := http.Header{}
			for _, value := range test.values {
				h.Add("Authorization", value)
			}
			if key, given := customer.KeyOf(h); key != test.key || given != test.given {
				t.Errorf("got %q, %v", key, given)
			}
		})
	}
}

func TestNewKeysDiffer(t *testing.T) {
	first, second := customer.NewKey(), customer.NewKey()
	if first == second || len(first) < 40 || customer.Digest(first) == customer.Digest(second) {
		t.Fatalf("keys %q and %q are too short or do not differ", first, second)
	}
}

// BenchmarkFind measures a lookup among 150,000 customers with two keys each.
func BenchmarkFind(b *testing.B) {
	const count = 150_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := newTable(b, count)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Find("county-77777-b"); !ok {
			b.Fatal("not found")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/customer")
}
