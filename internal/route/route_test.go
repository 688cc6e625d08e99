package route_test

import (
	"testing"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/route"
)

func TestFind(t *testing.T) {
	table := route.NewTable([]fleet.Route{
		{Path: "/", Service: "any"},
		{Path: "/search", Service: "lookup"},
		{Host: "Records.example", Path: "/", Service: "records"},
		{Host: "records.example", Path: "/holds/open", Service: "holds"},
	})
	tests := []struct{ host, path, want string }{
		{"other.example", "/", "any"},
		{"other.example", "/searching", "any"},
		{"other.example", "/search", "lookup"},
		{"other.example", "/search/", "lookup"},
		{"other.example", "/search/books/7", "lookup"},
		{"records.example", "/search", "records"},
		{"RECORDS.example:7400", "/holds", "records"},
		{"records.example", "/holds/open/9", "holds"},
		{"", "*", "any"},
	}
	for _, test := range tests {
		match, ok := table.Find(test.host, test.path)
		if !ok || match.Service != test.want {
			t.Errorf("%s %s: %+v, %t, want %s", test.host, test.path, match, ok, test.want)
		}
	}
	if _, ok := route.NewTable([]fleet.Route{{Path: "/a", Service: "a"}}).Find("", "/b"); ok {
		t.Error("found a route that is not declared")
	}
}
