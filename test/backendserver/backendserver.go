// Package backendserver is a small backend server for tests and the demo. It can stall, as
// backend servers do whose health check stays green, and keeps a ledger of what it really ran.
//
// # Usage
//
//	b := backendserver.New()
//	go http.Serve(workListener, b.Work())
//	go http.Serve(controlListener, b.Control())
//
// A request may carry X-Work-Ms, how long it takes, and X-Key, under which it
// is recorded. The answer echoes X-Key, as a header and as its body.
package backendserver

import (
	"cmp"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/wait"
)

// The headers of a request and its answer.
const (
	HeaderKey  = "X-Key"
	HeaderWork = "X-Work-Ms"
)

// Mode says how the backend server behaves. The zero Mode is healthy.
type Mode struct {
	// Stall is the share of requests that are never answered, 0 to 1.
	Stall float64 `json:"stall"`
}

// Ledger is what was run.
type Ledger struct {
	// Runs counts the runs under each key.
	Runs map[string]int `json:"runs"`
}

// Server is a backend server.
type Server struct {
	mu     sync.Mutex
	mode   Mode
	ledger Ledger
}

// New returns a healthy backend server.
func New() *Server {
	return &Server{ledger: Ledger{Runs: make(map[string]int)}}
}

// Work serves requests.
func (s *Server) Work() http.Handler { return http.HandlerFunc(s.work) }

// Control serves GET /ledger and PUT /mode.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ledger", s.serveLedger)
	mux.HandleFunc("PUT /mode", s.serveMode)
	return mux
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request was cut, so it is not run
	}
	key := r.Header.Get(HeaderKey)
	mode := s.begin(key)
	if rand.Float64() < mode.Stall {
		<-r.Context().Done()
		return
	}
	if work := workTime(r); work > 0 && !wait.For(r.Context(), work) {
		return
	}
	w.Header().Set(HeaderKey, key)
	_, _ = io.WriteString(w, cmp.Or(key, "-"))
}

func workTime(r *http.Request) time.Duration {
	millis, err := strconv.ParseFloat(r.Header.Get(HeaderWork), 64)
	if err != nil {
		return 0
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// begin records a run and returns how it goes.
func (s *Server) begin(key string) Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != "" {
		s.ledger.Runs[key]++
	}
	return s.mode
}

func (s *Server) serveLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.ledger)
}

func (s *Server) serveMode(w http.ResponseWriter, r *http.Request) {
	var mode Mode
	if err := json.NewDecoder(r.Body).Decode(&mode); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.mode = mode
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
