// Package backendserver implements a small backend server for tests and the demo. It can stall
// requests, like a backend server whose health check still succeeds, and keeps a ledger of its runs.
//
// # Usage
//
//	b := backendserver.New()
//	go http.Serve(workListener, b.Work())
//	go http.Serve(controlListener, b.Control())
//
// A request may carry X-Work-Ms, its processing time, X-Key, under which its run is
// recorded, and X-Bytes, the size of its response. The response echoes X-Key in a
// header and in its body (Body).
package backendserver

import (
	"cmp"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/wait"
)

// The headers of requests and responses.
const (
	HeaderKey   = "X-Key"
	HeaderWork  = "X-Work-Ms"
	HeaderBytes = "X-Bytes"
)

// Mode is the behaviour of the backend server. The zero Mode is healthy.
type Mode struct {
	// Stall is the share of requests that get no response, from 0 to 1.
	Stall float64 `json:"stall"`
	// Garble is the share of requests that get anything in place of a response, from 0 to 1 (garble.go).
	Garble float64 `json:"garble"`
}

// Ledger records the runs of requests.
type Ledger struct {
	// Runs is the number of runs by key.
	Runs map[string]int `json:"runs"`
}

// Server is a backend server. It is safe for concurrent use.
type Server struct {
	mu     sync.Mutex
	mode   Mode
	ledger Ledger
}

// New returns a healthy backend server.
func New() *Server {
	return &Server{ledger: Ledger{Runs: make(map[string]int)}}
}

// RequestHandler returns a handler that serves requests.
func (s *Server) RequestHandler() http.Handler { return http.HandlerFunc(s.work) }

// ControlHandler returns a handler that serves GET /ledger and PUT /mode.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ledger", s.serveLedger)
	mux.HandleFunc("PUT /mode", s.serveMode)
	return mux
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request was truncated, so it is not run
	}
	key := r.Header.Get(HeaderKey)
	mode := s.recordRun(key)
	if rand.Float64() < mode.Stall {
		<-r.Context().Done()
		return
	}
	if work := workTime(r); work > 0 && !wait.For(r.Context(), work) {
		return
	}
	if rand.Float64() < mode.Garble && garble(w, key) {
		return
	}
	w.Header().Set(HeaderKey, key)
	size, _ := strconv.Atoi(r.Header.Get(HeaderBytes)) // 0 without the header
	_, _ = io.WriteString(w, Body(cmp.Or(key, "-"), size))
}

// Body returns the body of the response to a request with the key and that size.
func Body(key string, size int) string {
	if size <= len(key) {
		return key
	}
	return key + strings.Repeat(".", size-len(key))
}

func workTime(r *http.Request) time.Duration {
	millis, err := strconv.ParseFloat(r.Header.Get(HeaderWork), 64)
	if err != nil {
		return 0
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// recordRun records a run and returns the mode that applies to it.
func (s *Server) recordRun(key string) Mode {
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
