// Package route maps callers' requests to services.
//
// # Usage
//
//	table := route.NewTable(declaration.Routes)
//	match, ok := table.Find(r.Host, route.SentPath(r.URL))
//
// A route with a host name takes precedence over one without; among the routes of
// a host name, the longest path takes precedence. A path matches whole segments:
// /search matches /search and /search/books, but not /searching. A path that ends
// with a slash matches only what begins with it: /search/ matches /search/books, but
// not /search.
//
// Paths are compared as they are sent (SentPath): an encoded slash separates no
// segments, and no other encoded character is decoded. Empty segments count.
//
// Finding a route takes two map lookups per segment of the path, whatever the number
// of routes.
//
// A Table is built from a checked declaration, is read-only and has no clock or
// random source: the caller of Choose supplies the random bits.
package route

import (
	"net"
	"net/url"
	"slices"
	"strings"

	"github.com/tideliftd/tidelift/internal/fleet"
)

// Name identifies a route: no two routes have the same host name and path.
type Name struct {
	Host string `json:"host"`
	Path string `json:"path"`
}

// NameOf returns the name of a declared route.
func NameOf(r fleet.Route) Name { return Name{Host: r.Host, Path: r.Path} }

// Match is a route that matched a request.
type Match struct {
	fleet.Route
	parts []fleet.Part
	total uint64 // sum of the parts' weights
}

// Idempotent reports whether a request with the method may run more than once.
func (m *Match) Idempotent(method string) bool {
	return slices.Contains(m.Route.Idempotent, method) || slices.Contains(m.Route.Idempotent, fleet.AnyMethod)
}

// Choose returns the service for one request: one of the route's parts, selected in proportion
// to their weights by 64 random bits.
func (m *Match) Choose(random uint64) string {
	if m.total == 0 {
		return m.Service
	}
	remaining := random % m.total
	for _, part := range m.parts {
		if remaining < weightOf(part) {
			return part.Service
		}
		remaining -= weightOf(part)
	}
	return m.Service
}

func newMatch(r fleet.Route) *Match {
	m := &Match{Route: r, parts: r.Parts()}
	for _, part := range m.parts {
		m.total += weightOf(part)
	}
	return m
}

// weightOf returns the weight as unsigned. A checked declaration has no negative weights.
func weightOf(part fleet.Part) uint64 { return uint64(max(0, part.Weight)) }

// Table finds routes. It is read-only and safe for concurrent use.
type Table struct {
	byKey map[key]*Match
}

type key struct {
	host string
	path string
}

// NewTable returns a table of the declared routes.
func NewTable(routes []fleet.Route) *Table {
	t := &Table{byKey: make(map[key]*Match, len(routes))}
	for _, r := range routes {
		t.byKey[keyOf(NameOf(r))] = newMatch(r)
	}
	return t
}

// keyOf returns the key of the named route: the host name in lower case and the path as it would be
// sent.
func keyOf(name Name) key {
	return key{host: strings.ToLower(name.Host), path: fleet.EncodePath(name.Path)}
}

// Has reports whether the named route is declared.
func (t *Table) Has(name Name) bool {
	_, ok := t.byKey[keyOf(name)]
	return ok
}

// SentPath returns the path of a request's URL as the caller sent it.
func SentPath(u *url.URL) string {
	if u.RawPath != "" {
		return u.RawPath // set only if it differs from the encoding of the decoded path
	}
	return u.EscapedPath()
}

// Find returns the route for the request's host name and path, which is that of SentPath.
func (t *Table) Find(host, path string) (*Match, bool) {
	path = fleet.EncodePath(path)
	if !strings.HasPrefix(path, "/") {
		path = "/" // the request is for the whole server: "*" or empty
	}
	if match, ok := t.findPath(hostName(host), path); ok {
		return match, true
	}
	return t.findPath("", path)
}

// findPath tries the path and then, for each of its slashes from the last one on, the path up to the slash with and
// without it.
func (t *Table) findPath(host, path string) (*Match, bool) {
	if match, ok := t.byKey[key{host: host, path: path}]; ok {
		return match, true
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if match, ok := t.byKey[key{host: host, path: path[:end+1]}]; ok {
			return match, true
		}
		if match, ok := t.byKey[key{host: host, path: path[:end]}]; ok {
			return match, true
		}
	}
	return nil, false
}

// hostName returns the host name without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
