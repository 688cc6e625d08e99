// Package standin is an in-memory stand-in for the platform's key-value store, for tests and the demo.
//
// # Usage
//
//	s := standin.New()
//	server := httptest.NewServer(s.Handler())
//	s.SetOutage(true)
//
// It implements the store's protocol as used by package platform, and can simulate an outage, lost
// responses, a rate limit, expired leases, a compacted history and a return from an older copy.
package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxValue is the largest accepted value, in bytes.
const maxValue = 1 << 20

// firstLease is below all leases, which use all bits of their numbers, unlike revisions.
const firstLease = 1<<62 + 1<<52 + 1<<44

// maxWait is the longest time that a watch waits.
const maxWait = 30 * time.Second

// Standin is an in-memory key-value store. It is safe for concurrent use.
type Standin struct {
	mu        sync.Mutex
	revision  int64
	era       atomic.Int64 // how often it has come back from a copy
	items     map[string]item
	history   []item
	compacted int64 // last revision that is no longer in the history
	leases    map[int64]lease
	changed   chan struct{} // closed and replaced at each change
	faults    faults
	calls     int64
	byCall    map[string]int64
	bytes     int64
}

// item is the protocol's representation of a key.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created-rev,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty stand-in.
func New() *Standin {
	return &Standin{
		revision: 1,
		items:    make(map[string]item),
		leases:   make(map[int64]lease),
		changed:  make(chan struct{}),
		byCall:   make(map[string]int64),
	}
}

// Handler returns a handler that serves the store's protocol.
func (s *Standin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /-/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /-/kv-keep/{lease}", s.serveRenew)
	mux.HandleFunc("DELETE /-/kv-lease-end/{lease}", s.serveRevoke)
	return s.withEra(s.withFaults(mux))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Standin) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(time.Now())
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store-revision"`
	}{found, s.revision})
}

func (s *Standin) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageSize = 100
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(time.Now())
	query := r.URL.Query()
	found := []item{}
	for _, one := range s.items {
		if strings.HasPrefix(one.Key, query.Get("path-prefix")) && one.Key > query.Get("after") {
			found = append(found, one)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(found) > pageSize
	if more {
		found = found[:pageSize]
	}
	writeJSON(w, http.StatusOK, struct {
		Items         []item `json:"items"`
		More          bool   `json:"more-pages"`
		StoreRevision int64  `json:"store-revision"`
	}{found, more, s.revision})
}

func (s *Standin) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	millis, err2 := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || err2 != nil {
		http.Error(w, "invalid watch parameters", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(millis)*time.Millisecond, maxWait)
	events, revision, ok := s.waitFor(r.Context(), query.Get("path-prefix"), after, wait)
	if !ok {
		http.Error(w, "history is gone", http.StatusGone)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Events        []item `json:"events"`
		StoreRevision int64  `json:"store-revision"`
	}{events, revision})
}

// waitFor waits for changes after a revision. It reports false if the history
// since that revision is no longer available.
func (s *Standin) waitFor(ctx context.Context, prefix string, after int64, wait time.Duration) ([]item, int64, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, revision, changed, ok := s.eventsSince(prefix, after)
		if !ok || len(events) > 0 {
			return events, revision, ok
		}
		select {
		case <-changed:
		case <-timer.C:
			return events, revision, true
		case <-ctx.Done():
			return events, revision, true
		}
	}
}

func (s *Standin) eventsSince(prefix string, after int64) (events []item, revision int64, changed chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(time.Now())
	if after < s.compacted || after > s.revision {
		return nil, 0, nil, false
	}
	events = []item{}
	for _, one := range s.history {
		if one.Revision > after && strings.HasPrefix(one.Key, prefix) {
			events = append(events, one)
		}
	}
	return events, s.revision, s.changed, true
}

// transaction is the protocol's representation of a transaction.
type transaction struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected-revision"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *Standin) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var c transaction
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(time.Now())
	status := s.checkTransaction(c)
	if status != http.StatusOK {
		writeJSON(w, status, struct{}{})
		return
	}
	s.apply(c)
	writeJSON(w, http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{s.revision})
}

// checkTransaction returns the status of a refused transaction, or 200.
func (s *Standin) checkTransaction(c transaction) int {
	for _, e := range c.Expect {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed
		}
	}
	for _, p := range c.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound
		}
		if len(p.Value) > maxValue {
			return http.StatusRequestEntityTooLarge
		}
	}
	return http.StatusOK
}

func (s *Standin) apply(c transaction) {
	s.revision++
	for _, p := range c.Puts {
		created := s.items[p.Key].Created
		if created == 0 {
			created = s.revision
		}
		written := item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: created, Lease: p.Lease}
		s.items[p.Key] = written
		s.history = append(s.history, written)
	}
	for _, key := range c.Remove {
		s.remove(key)
	}
	s.wakeWatches()
}

func (s *Standin) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
}

// wakeWatches wakes all waiting watches.
func (s *Standin) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Standin) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL float64 `json:"ttl-s"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TTL * float64(time.Second))
	id := firstLease + s.revision
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, struct {
		Lease int64   `json:"lease"`
		TTL   float64 `json:"ttl-s"`
	}{id, body.TTL})
}

func (s *Standin) serveRenew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(time.Now())
	held, ok := s.leases[id]
	if !ok {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	held.expires = time.Now().Add(held.ttl)
	s.leases[id] = held
	writeJSON(w, http.StatusOK, struct {
		TTL float64 `json:"ttl-s"`
	}{held.ttl.Seconds()})
}

func (s *Standin) serveRevoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	s.removeLease(id)
	writeJSON(w, http.StatusOK, struct{}{})
}

// removeExpired removes expired leases and their keys.
func (s *Standin) removeExpired(now time.Time) {
	for id, held := range s.leases {
		if now.After(held.expires) {
			s.removeLease(id)
		}
	}
}

func (s *Standin) removeLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, one := range s.items {
		if one.Lease == id {
			s.remove(key)
		}
	}
	s.wakeWatches()
}

// ExpireLeases expires every lease.
func (s *Standin) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.removeLease(id)
	}
}

// CompactHistory drops the history, so that watches cannot resume from an earlier revision.
func (s *Standin) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
	s.wakeWatches()
}

// Calls returns the number of calls. A waiting watch counts as one.
func (s *Standin) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// CallsByName returns the number of calls by their path and the prefix of the keys that they read.
func (s *Standin) CallsByName() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byCall)
}

// Bytes returns the number of bytes sent in response bodies.
func (s *Standin) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Write writes a key without a lease.
func (s *Standin) Write(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c transaction
	c.Puts = append(c.Puts, struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	}{Key: key, Value: data})
	s.apply(c)
}

// Value returns the value of a key and whether the key exists.
func (s *Standin) Value(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[key]
	return string(found.Value), ok
}

// Remove removes a key as the platform's operator, who is not affected by outages.
func (s *Standin) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wakeWatches()
}
