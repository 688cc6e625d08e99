package standin

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
)

// faults are the faults that are switched on.
type faults struct {
	outage      bool
	loseAnswers string
	writesLeft  int
	limited     bool
}

// SetOutage makes the stand-in close the connection of every call without a response, including those of
// waiting watches.
func (s *Standin) SetOutage(on bool) {
	s.setFaults(func(f *faults) { f.outage = on })
}

// SetLoseResponses makes the stand-in apply writes to keys whose names contain the text and close their connections
// without a response. An empty text switches this off.
func (s *Standin) SetLoseResponses(text string) {
	s.setFaults(func(f *faults) { f.loseAnswers = text })
}

// SetWriteLimit makes the stand-in refuse writes after the given number. A negative number removes the limit.
func (s *Standin) SetWriteLimit(writes int) {
	s.setFaults(func(f *faults) { f.limited, f.writesLeft = writes >= 0, writes })
}

func (s *Standin) setFaults(change func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	s.wakeWatches()
}

// beginCall counts a call and returns the faults that apply to it.
func (s *Standin) beginCall(r *http.Request) (f faults, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.byCall[callName(r)]++
	if isWrite(r) && s.faults.limited {
		refused = s.faults.writesLeft <= 0
		s.faults.writesLeft--
	}
	return s.faults, refused
}

// callName returns the path of the call, without the lease that it names, and the prefix of the keys that it reads.
func callName(r *http.Request) string {
	path := r.URL.Path
	if strings.HasPrefix(path, "/-/kv-keep/") {
		path = "/-/kv-keep"
	}
	if prefix := r.URL.Query().Get("path-prefix"); prefix != "" {
		return path + " " + prefix
	}
	return path
}

// isWrite reports whether the call writes keys.
func isWrite(r *http.Request) bool { return r.URL.Path == "/-/kv-txn" }

func (s *Standin) inOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.outage
}

// withFaults returns a handler that applies the faults to calls of the API.
func (s *Standin) withFaults(api http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, refused := s.beginCall(r)
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

// bodyContains reports whether the body of a call contains the text. The body can be read again afterwards.
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
