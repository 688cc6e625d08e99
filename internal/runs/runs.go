// Package runs knows what the backend servers of one host run, so that what one of them
// calls while it runs a request can be traced to that run.
//
// Only its id says of a request that a backend server sent it for another one: services that
// pass ids on put that of the request they run at the head of the ids of what they call for
// it, as in "4f2a" and "4f2a.1". Where ids do not tell, nothing is traced.
//
// # Rules
//
//   - A request is a call of a run if its id is the run's with a separator and more after it.
//     The longest such run is the one.
//   - A run is remembered for some seconds after it began, also after its answer: what it
//     called may come late.
//   - Of two runs of the same id on this host, a retry is what is remembered.
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
	// remembered is the least time for which a run is remembered. Source: deadlines of callers are
	// ten seconds at most; at ten runs a second that is some hundred runs.
	remembered = 15 * time.Second
	// separators may stand between the id of a run and what its call's id adds to it. Source:
	// those of hierarchical request ids.
	separators = "._-/:"
	// mostHeads bounds how many heads of an id are looked up. Source: calls of calls of calls.
	mostHeads = 4
)

// Run is a request that a backend server of this host runs.
type Run struct {
	// ID is the request's.
	ID string
	// Service is the backend server's.
	Service string
	// Retry says that the request had been sent to a backend server before, or may have been.
	Retry bool
}

// Table is the runs of one host.
type Table struct {
	mu sync.Mutex
	// young and old are by id; old is forgotten when young becomes old.
	young, old map[string]Run
	rotatedAt  time.Time // when young last became old
}

// New returns a table without runs.
func New() *Table { return &Table{young: make(map[string]Run)} }

// Begin records that a backend server is sent the request. One without an id is not
// remembered.
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
	t.young[run.ID] = run
}

// Caller returns the run that sent the request with that id; false if none did, as far as is
// known.
func (t *Table) Caller(now time.Time, id string) (Run, bool) {
	head := id
	for range mostHeads {
		end := strings.LastIndexAny(head, separators)
		if end <= 0 {
			return Run{}, false
		}
		head = head[:end]
		if run, ok := t.lookUp(now, head); ok {
			return run, true
		}
	}
	return Run{}, false
}

// lookUp returns the run of that id.
func (t *Table) lookUp(now time.Time, id string) (Run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	return t.find(id)
}

// find returns the run of that id. The caller holds mu.
func (t *Table) find(id string) (Run, bool) {
	if run, ok := t.young[id]; ok {
		return run, true
	}
	run, ok := t.old[id]
	return run, ok
}

// rotate forgets runs that began long ago. The caller holds mu.
func (t *Table) rotate(now time.Time) {
	if now.Sub(t.rotatedAt) < remembered {
		return
	}
	t.old, t.young, t.rotatedAt = t.young, make(map[string]Run), now
}
