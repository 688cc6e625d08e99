package ingress

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/body"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retryafter"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

const slowReaders = `
hosts:
- {name: h1, data-centre: dc, peers: "127.0.0.1:1", control: "127.0.0.1:2"}
- {name: h2, data-centre: dc, peers: %q, control: "127.0.0.1:2"}
callers: {id-header: Request-Id, customer-header: Customer}
services:
- name: archive
  floor: 1
  backend-servers:
  - {name: a, host: h2, address: %q, slots: 500, queue: 500}
routes: [{host: a.example, service: archive, deadline: 20s, max-body: 1000000}]
`

const uploadSize = 360_000

// slowReader is a backend server that reads bodies slowly. It records, by request ID, how many bytes it has read of
// each request.
type slowReader struct {
	mu   sync.Mutex
	read map[string]int64
}

// ServeHTTP reads the body at about 2 MB a second.
func (s *slowReader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	s.record(id, 0) // at once, so that a request that was refused while it runs is seen
	var length int64
	for {
		n, err := io.CopyN(io.Discard, r.Body, 20_000)
		length += n
		if err != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.record(id, length)
	w.Header().Set("Request-Id", id)
	w.WriteHeader(http.StatusNoContent)
}

// record records that the backend server got the request and has read length bytes more of it.
func (s *slowReader) record(id string, length int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read[id] += length
}

// bytesRead returns how much of the request the backend server has read, and whether it got the request.
func (s *slowReader) bytesRead(id string) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.read[id]
	return n, ok
}

// uploadFleet is an ingress on one host and a sidecar on another, each with its memory for bodies.
type uploadFleet struct {
	url            string
	server         *slowReader
	atIngress      *body.Memory
	atSidecar      *body.Memory
	mostAtIngress  int64
	mostAtSidecar  int64
	stopMeasuring  func()
	refused, taken atomic.Int64
}

func newUploadFleet(t *testing.T, ingressLimit, sidecarLimit int64) *uploadFleet {
	t.Helper()
	f := &uploadFleet{server: &slowReader{read: make(map[string]int64)}}
	newMemory := func(limit int64) *body.Memory {
		return body.NewMemory(body.MemoryConfig{Limit: limit, Scope: tally.NoopScope})
	}
	f.atIngress, f.atSidecar = newMemory(ingressLimit), newMemory(sidecarLimit)
	logger := slog.New(slog.DiscardHandler)
	backend := httptest.NewServer(f.server)
	t.Cleanup(backend.Close)
	remote, cleanUp := sidecar.New(sidecar.Config{Host: "h2", Logger: logger, Scope: tally.NoopScope, BodyMemory: f.atSidecar})
	t.Cleanup(cleanUp)
	peers := httptest.NewServer(remote.Handler())
	t.Cleanup(peers.Close)
	local, cleanUp := sidecar.New(sidecar.Config{Host: "h1", Logger: logger, Scope: tally.NoopScope})
	t.Cleanup(cleanUp)
	in, cleanUp := New(Config{
		Host: "h1", DataCentre: "dc", Logger: logger, Scope: tally.NoopScope, HeaderBytes: 1 << 16,
		BodyMemory: f.atIngress, Local: local.Do, LocalReservation: local.Reserve,
	})
	t.Cleanup(cleanUp)
	text := fmt.Sprintf(slowReaders, peers.Listener.Addr(), backend.Listener.Addr())
	declaration, err := fleet.Parse("fleet.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	index := fleet.NewIndex(declaration)
	remote.Reconfigure(index)
	in.Reconfigure(index)
	callers := httptest.NewServer(in)
	t.Cleanup(callers.Close)
	f.url = callers.URL
	f.measure()
	return f
}

// measure records the maximum at each daemon until stopMeasuring is called.
func (f *uploadFleet) measure() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	f.stopMeasuring = func() {
		cancel()
		<-ended
	}
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			f.mostAtIngress = max(f.mostAtIngress, f.atIngress.Used())
			f.mostAtSidecar = max(f.mostAtSidecar, f.atSidecar.Used())
			time.Sleep(200 * time.Microsecond)
		}
	}()
}

// send sends a request of the customer and returns its status and result code.
func (f *uploadFleet) send(t *testing.T, method, id, customer string, sent io.Reader) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, f.url+"/x", sent)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	r.Host = "a.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Customer", customer)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Errorf("%s %s: %v", method, id, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "1" {
		t.Errorf("%s: Retry-After is %q", id, response.Header.Get("Retry-After"))
	}
	return response.StatusCode, response.Header.Get(result.Header)
}

// upload sends a PUT with a body. It reports a body that is neither complete nor refused without being sent.
func (f *uploadFleet) upload(t *testing.T, id, customer string) {
	t.Helper()
	status, code := f.send(t, http.MethodPut, id, customer, strings.NewReader(strings.Repeat("x", uploadSize)))
	read, ran := f.server.bytesRead(id)
	switch {
	case status == http.StatusNoContent && read == uploadSize:
		f.taken.Add(1)
	case status == http.StatusServiceUnavailable && code == "2029 body-memory" && !ran:
		f.refused.Add(1)
	default:
		t.Errorf("%s: status %d, %q, %d bytes at the backend server", id, status, code, read)
	}
}

// uploads sends that many concurrent uploads, of the customers in turn, and GETs beside them.
func (f *uploadFleet) uploads(t *testing.T, count int, customers ...string) {
	t.Helper()
	var sent sync.WaitGroup
	for i := range count {
		sent.Go(func() { f.upload(t, fmt.Sprintf("upload-%d", i), customers[i%len(customers)]) })
	}
	for i := range 50 {
		if status, code := f.send(t, http.MethodGet, fmt.Sprintf("get-%d", i), customers[0], nil); status != http.StatusNoContent {
			t.Errorf("GET %d: status %d, %q", i, status, code)
		}
	}
	sent.Wait()
	f.stopMeasuring()
}

// checkReturned reports memory that is still held soon after all requests.
func (f *uploadFleet) checkReturned(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for f.atIngress.Used()+f.atSidecar.Used() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if f.atIngress.Used()+f.atSidecar.Used() > 0 {
		t.Errorf("%d and %d bytes are held after all requests", f.atIngress.Used(), f.atSidecar.Used())
	}
}

// TestUploadsStayWithinTheMemory guards against more bodies in memory than the bound, against a refused upload that
// reached the backend server, against an upload that arrives in part, and against GETs that suffer from uploads.
func TestUploadsStayWithinTheMemory(t *testing.T) {
	const bound = 4 << 20
	tests := []struct {
		name                       string
		ingressLimit, sidecarLimit int64
		uploads                    int
		customers                  []string
		maxRefused                 int64 // if all are there at once, which a busy machine may prevent
	}{
		{"40 of four customers, at the ingress and the sidecar", bound, 2 * bound, 40, []string{"a", "b", "c", "d"}, 0},
		{"40 of one customer, which has half", bound, 2 * bound, 40, []string{"a"}, 8},
		{"40 without a customer", bound, 2 * bound, 40, []string{""}, 8},
		{"40 of four customers and one host, which has half of the sidecar's", bound, bound, 40, []string{"a", "b", "c", "d"}, 8},
		{"100 of four customers, which use up all", bound, 4 * bound, 100, []string{"a", "b", "c", "d"}, 36},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newUploadFleet(t, test.ingressLimit, test.sidecarLimit)
			f.uploads(t, test.uploads, test.customers...)
			if f.mostAtIngress > test.ingressLimit || f.mostAtSidecar > test.sidecarLimit/2 {
				t.Errorf("%d and %d bytes were held", f.mostAtIngress, f.mostAtSidecar)
			}
			if refused := f.refused.Load(); refused < min(1, test.maxRefused) || refused > test.maxRefused {
				t.Errorf("%d uploads were refused, want up to %d", refused, test.maxRefused)
			}
			f.checkReturned(t)
			t.Logf("%d taken, %d refused, at most %d and %d bytes held", f.taken.Load(), f.refused.Load(), f.mostAtIngress, f.mostAtSidecar)
		})
	}
}

// TestARefusedUploadIsAnsweredAtOnce guards against a refusal that waits until a slow caller has sent its body.
func TestARefusedUploadIsAnsweredAtOnce(t *testing.T) {
	f := newUploadFleet(t, 1000, 1000)
	defer f.stopMeasuring()
	connection, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, "PUT /x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: u\r\nContent-Length: 20000\r\n\r\nthe first part")
	_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, err := io.ReadAll(connection)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 503 ") || !strings.Contains(string(answer), "Connection: close") {
		t.Fatalf("got %q, %v", answer, err)
	}
}

const fiveArchives = `
hosts: [{name: h1, data-centre: dc, peers: "127.0.0.1:1", control: "127.0.0.1:2"}]
services:
- name: archive
  floor: 1
  backend-servers:
  - {name: a, host: h1, address: "127.0.0.1:3", slots: 100}
  - {name: b, host: h1, address: "127.0.0.1:4", slots: 100}
  - {name: c, host: h1, address: "127.0.0.1:5", slots: 100}
  - {name: d, host: h1, address: "127.0.0.1:6", slots: 100}
  - {name: e, host: h1, address: "127.0.0.1:7", slots: 100}
routes: [{host: a.example, service: archive}]
`

// newIngressWithFullSidecars returns an ingress to five backend servers. The sidecars of those that refuse reports have
// no memory for bodies. The count is of all requests that were sent to a sidecar.
func newIngressWithFullSidecars(t *testing.T, refuses func(backendServer string) bool) (*Ingress, *atomic.Int64) {
	t.Helper()
	var sent atomic.Int64
	in, cleanUp := New(Config{
		Host: "h1", DataCentre: "dc", Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, HeaderBytes: 1 << 16,
		Local: func(_ context.Context, call hop.Call, r *http.Request) (sidecar.Answer, error) {
			sent.Add(1)
			if call.Body != nil && refuses(call.BackendServer) {
				return sidecar.Answer{}, result.New(result.BodyMemory).WithRetryAfter(retryafter.BodyMemory)
			}
			return answered(call, r), nil
		},
		LocalReservation: noSlotForHedges,
	})
	t.Cleanup(cleanUp)
	declaration, err := fleet.Parse("fleet.yaml", []byte(fiveArchives))
	if err != nil {
		t.Fatal(err)
	}
	in.Reconfigure(fleet.NewIndex(declaration))
	return in, &sent
}

// serveOne serves a request with the body, which may be empty, and returns the response.
func serveOne(in *Ingress, method, text string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	var sent io.Reader = http.NoBody
	if text != "" {
		sent = strings.NewReader(text)
	}
	in.ServeHTTP(w, httptest.NewRequest(method, "http://a.example/x", sent))
	return w
}

// TestARefusalForMemoryIsPassedOn guards against a request that fails, although another backend server's daemon has
// memory for its body, and against a backend server that gets no GETs because its daemon has no memory for bodies.
func TestARefusalForMemoryIsPassedOn(t *testing.T) {
	in, _ := newIngressWithFullSidecars(t, func(backendServer string) bool { return backendServer == "a" })
	gets := make(map[string]int)
	for range 200 {
		for _, method := range []string{http.MethodPut, http.MethodPost} {
			if w := serveOne(in, method, "a book"); w.Code != http.StatusOK {
				t.Fatalf("%s: status %d, %s", method, w.Code, w.Header().Get(result.Header))
			}
		}
		w := serveOne(in, http.MethodGet, "")
		if w.Code != http.StatusOK {
			t.Fatalf("GET: status %d", w.Code)
		}
		gets[w.Header().Get("Backend")]++
	}
	if gets["a"] < 20 {
		t.Errorf("GETs by backend server: %v", gets)
	}
}

// TestRefusalsForMemoryEndTheSearch guards against a request that queries every backend server of a large service.
func TestRefusalsForMemoryEndTheSearch(t *testing.T) {
	in, sent := newIngressWithFullSidecars(t, func(string) bool { return true })
	w := serveOne(in, http.MethodPost, "a book")
	if w.Code != http.StatusServiceUnavailable || w.Header().Get(result.Header) != "2029 body-memory" || w.Header().Get("Retry-After") != "1" {
		t.Errorf("status %d, headers %v", w.Code, w.Header())
	}
	if sent.Load() != 3 {
		t.Errorf("%d backend servers were asked, want 3", sent.Load())
	}
}
