package route_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/route"
)

// find returns the service of the route for a request line's target, or "none".
func find(t testing.TB, table *route.Table, target string) string {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST " + target + " HTTP/1.1\r\nHost: loans.example\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	match, ok := table.Find(r.Host, route.SentPath(r.URL))
	if !ok {
		return "none"
	}
	return match.Service
}

// TestRouteTakesOnlyPathsThatItBegins guards against a route that takes requests which its path does not begin. Another
// service would run them, or they would be repeated although their own route forbids it.
func TestRouteTakesOnlyPathsThatItBegins(t *testing.T) {
	table := route.NewTable([]fleet.Route{
		{Host: "loans.example", Path: "/loans/", Service: "loans"},
		{Host: "loans.example", Path: "/loans/hold/", Service: "holds"},
		{Host: "loans.example", Path: "/loans/hold//", Service: "empty segment"},
		{Host: "loans.example", Path: "/loans/a%2Fb/", Service: "encoded slash"},
		{Host: "loans.example", Path: "/café/", Service: "café"},
		{Host: "loans.example", Path: "/desk", Service: "desk"},
		{Path: "/other/", Service: "other"},
	})
	for target, want := range map[string]string{
		"/loans/hold/":               "holds",
		"/loans/hold/7":              "holds",
		"/loans/hold/7/":             "holds",
		"/loans/hold/?last=/":        "holds",
		"/loans/hold":                "loans",
		"/loans/hold?next=/":         "loans",
		"/loans/holds/7":             "loans",
		"/loans/hold%2F7":            "loans",
		"/loans/hold%2f":             "loans",
		"/loans%2Fhold/7":            "none",
		"/loans/h%6Fld/7":            "loans",
		"/loans/./hold/7":            "loans",
		"/loans/":                    "loans",
		"/loans":                     "none",
		"/loans?x":                   "none",
		"/%6Coans/7":                 "none",
		"//loans/7":                  "none",
		"/loans//hold/7":             "loans",
		"/loans/hold//7":             "empty segment",
		"/loans/hold///":             "empty segment",
		"/loans/a%2Fb/7":             "encoded slash",
		"/loans/a/b/7":               "loans",
		"/caf%C3%A9/7":               "café",
		"/café/7":                    "café",
		"/desk":                      "desk",
		"/desk/":                     "desk",
		"/desk/7":                    "desk",
		"/desk%2F7":                  "none",
		"/desks":                     "none",
		"/other/7":                   "other",
		"/other":                     "none",
		"/":                          "none",
		"*":                          "none",
		"http://loans.example/loans": "none",
		"http://loans.example/desk":  "desk",
		"http://loans.example":       "none",
	} {
		if got := find(t, table, target); got != want {
			t.Errorf("%s: %s, want %s", target, got, want)
		}
	}
}

// TestFindAgreesWithPrefixes guards against a lookup that misses a route which begins the path, or prefers a shorter one.
func TestFindAgreesWithPrefixes(t *testing.T) {
	path := rapid.StringMatching(`(/|a|b|%2F){0,6}`)
	rapid.Check(t, func(t *rapid.T) {
		paths := rapid.SliceOfDistinct(path, rapid.ID[string]).Draw(t, "paths")
		routes := make([]fleet.Route, 0, len(paths))
		for _, p := range paths {
			routes = append(routes, fleet.Route{Path: "/" + p, Service: "/" + p})
		}
		target := "/" + path.Draw(t, "target")
		want := "none"
		for _, r := range routes {
			if begins(r.Path, target) && (want == "none" || len(r.Path) > len(want)) {
				want = r.Path
			}
		}
		got := "none"
		if match, ok := route.NewTable(routes).Find("loans.example", target); ok {
			got = match.Path
		}
		if got != want {
			t.Fatalf("%s: %s, want %s", target, got, want)
		}
	})
}

// begins reports whether the declared path begins the target, as a whole segment unless it ends with a slash.
func begins(declared, target string) bool {
	return strings.HasPrefix(target, declared) && (strings.HasSuffix(declared, "/") || target == declared || target[len(declared)] == '/')
}
