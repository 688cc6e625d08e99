// Package runs records the requests that the backend servers of one host run, so that the calls that
// a backend server makes while it runs a request can be traced to that run.
//
// Calls are traced by request id alone: services that propagate ids use the id of the request that
// they run as the prefix of the ids of the calls that they make for it, as in "4f2a" and "4f2a.1".
// Calls without such an id are not traced.
//
// # Rules
//
//   - A request is a call of a run if its id is the run's id followed by a separator and a suffix. If
//     several runs match, it belongs to the one with the longest id.
//   - A run is kept for some seconds after it began, even after its answer, since its calls may arrive
//     late.
//   - If two runs on this host have the same id and one is a retry, the id is kept as a retry.
//
// A Table has no clock, goroutine or socket. It is safe for concurrent use.
//
// # Usage
//
//	table := runs.New()
//	table.Begin(now, runs.Run{ID: "4f2a", Service: "lookup", Retry: true})
//	run, ok := table.Caller(now, "4f2a.1")
package runs

import (
	"strings"
	"sync"
	"time"
)

const (
	// retention is the minimum time for which a run is kept. It exceeds the deadlines of callers.
	retention = 15 * time.Second
	// separators are the characters between the id of a run and the suffix for its call, as in
	// hierarchical request ids.
	separators = "._-/:"
	// maxPrefixes bounds the number of prefixes of an id that are looked up.
	maxPrefixes = 4
)

// Run is a request that a backend server of this host runs.
type Run struct {
	// ID is the id of the request.
	ID string
	// Service is the service of the backend server.
	Service string
	// Route is the name of the request's route; empty if unknown.
	Route string
	// Long is set if the rules for long requests apply to the request.
	Long bool
	// Retry is set if the request was, or may have been, sent to a backend server before.
	Retry bool
}

// Table holds the runs of one host.
type Table struct {
	mu sync.Mutex
	// current and previous are keyed by id; rotation replaces previous with current.
	current, previous map[string]Run
	rotatedAt         time.Time // time of the last rotation
}

// New returns an empty table.
func New() *Table { return &Table{current: make(map[string]Run)} }

// Begin records that a backend server is sent the request. A request without an id is not recorded.
func (t *Table) Begin(now time.Time, run Run) {
	if run.ID == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if before, ok := t.find(run.ID); ok && before.Retry {
		run.Retry = true
	}
	t.current[run.ID] = run
}

// Caller returns the run that sent the request with that id, and false if none is known.
func (t *Table) Caller(now time.Time, id string) (Run, bool) {
	prefix := id
	for range maxPrefixes {
		end := strings.LastIndexAny(prefix, separators)
		if end <= 0 {
			return Run{}, false
		}
		prefix = prefix[:end]
		if run, ok := t.lookUp(now, prefix); ok {
			return run, true
		}
	}
	return Run{}, false
}

// lookUp returns the run with that id.
func (t *Table) lookUp(now time.Time, id string) (Run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	return t.find(id)
}

// find returns the run with that id. The caller holds mu.
func (t *Table) find(id string) (Run, bool) {
	if run, ok := t.current[id]; ok {
		return run, true
	}
	run, ok := t.previous[id]
	return run, ok
}

// rotate drops old runs. The caller holds mu.
func (t *Table) rotate(now time.Time) {
	if now.Sub(t.rotatedAt) < retention {
		return
	}
	t.previous, t.current, t.rotatedAt = t.current, make(map[string]Run), now
}
