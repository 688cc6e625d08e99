package standin

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// headerEra is the header of every response that holds how often the store has come back from a copy.
const headerEra = "Store-Era"

// Copy is the state of a stand-in at one time.
type Copy struct {
	revision, compacted int64
	items               map[string]item
	history             []item
	leases              map[int64]lease
}

// Copy returns a copy of the state.
func (s *Standin) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		revision: s.revision, compacted: s.compacted,
		items: maps.Clone(s.items), history: slices.Clone(s.history), leases: maps.Clone(s.leases),
	}
}

// Restore returns to the state of the copy: later writes and leases are lost, revisions are given out again, and the era
// rises.
func (s *Standin) Restore(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.compacted = from.revision, from.compacted
	s.items, s.history, s.leases = maps.Clone(from.items), slices.Clone(from.history), maps.Clone(from.leases)
	s.era.Add(1)
	s.wakeWatches()
}

// Revision returns the revision of the last change.
func (s *Standin) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// withEra returns a handler that adds the era to all responses.
func (s *Standin) withEra(api http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		api.ServeHTTP(eraWriter{ResponseWriter: w, standin: s}, r)
	})
}

// eraWriter adds the era to a response.
type eraWriter struct {
	http.ResponseWriter
	standin *Standin
}

// WriteHeader writes the headers with the era, unless a handler around the stand-in's has set one.
func (w eraWriter) WriteHeader(status int) {
	if w.Header().Get(headerEra) == "" {
		w.Header().Set(headerEra, strconv.FormatInt(w.standin.era.Load(), 10))
	}
	w.ResponseWriter.WriteHeader(status)
}
