package standin

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
)

// faults are the switches.
type faults struct {
	outage      bool
	loseAnswers string
	writesLeft  int
	limited     bool
}

// SetOutage makes every call hang up, waiting watches included.
func (s *Standin) SetOutage(on bool) {
	s.set(func(f *faults) { f.outage = on })
}

// SetLoseResponses makes every write to a key whose name contains the text take
// effect and its answer get lost; an empty text ends that.
func (s *Standin) SetLoseResponses(text string) {
	s.set(func(f *faults) { f.loseAnswers = text })
}

// SetWriteLimit refuses writes after so many more; below zero there is no limit.
func (s *Standin) SetWriteLimit(writes int) {
	s.set(func(f *faults) { f.limited, f.writesLeft = writes >= 0, writes })
}

func (s *Standin) set(change func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	s.wake()
}

// begin counts a call and returns the faults it meets.
func (s *Standin) begin(r *http.Request) (f faults, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if isWrite(r) && s.faults.limited {
		refused = s.faults.writesLeft <= 0
		s.faults.writesLeft--
	}
	return s.faults, refused
}

// isWrite reports whether the call writes keys.
func isWrite(r *http.Request) bool { return r.URL.Path == "/-/kv-txn" }

func (s *Standin) inOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.outage
}

// withFaults puts the switches in front of the protocol.
func (s *Standin) withFaults(api http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, refused := s.begin(r)
		if f.outage {
			panic(http.ErrAbortHandler)
		}
		if refused {
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		if f.loseAnswers != "" && isWrite(r) && bodyContains(r, f.loseAnswers) {
			api.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		recorder := httptest.NewRecorder()
		api.ServeHTTP(recorder, r)
		if s.inOutage() {
			panic(http.ErrAbortHandler)
		}
		s.replay(w, recorder)
	})
}

// bodyContains looks into the body of a call and leaves it to be read again.
func bodyContains(r *http.Request, text string) bool {
	data, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(data))
	return err == nil && bytes.Contains(data, []byte(text))
}

func (s *Standin) replay(w http.ResponseWriter, recorder *httptest.ResponseRecorder) {
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	written, _ := recorder.Body.WriteTo(w)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes += written
}
