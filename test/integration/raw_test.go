package integration

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/test/harness"
)

// rawAnswer writes whatever it wants to a connection in place of the answer to a request. It returns false if the
// connection is to be closed then.
type rawAnswer func(conn *net.TCPConn, request *http.Request) bool

// rawBackend is a backend server that sends anything.
type rawBackend struct {
	address string
	answer  atomic.Pointer[rawAnswer]
	runs    atomic.Int64
}

// newRawBackend starts a backend server without an answer.
func newRawBackend(t *testing.T) *rawBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	b := &rawBackend{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn.(*net.TCPConn))
		}
	}()
	return b
}

func (b *rawBackend) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		b.runs.Add(1)
		if !(*b.answer.Load())(conn, request) {
			return
		}
	}
}

// setAnswer sets what the backend server sends from now on.
func (b *rawBackend) setAnswer(answer rawAnswer) { b.answer.Store(&answer) }

// startRaw starts two daemons and a raw backend server at the second.
func startRaw(t *testing.T, deadline time.Duration) (*harness.Fleet, *rawBackend) {
	t.Helper()
	b := newRawBackend(t)
	return start(t, harness.Spec{
		DataCentres: []string{"muenchen-nord", "rosenheim"},
		HostsEach:   1,
		Services: []harness.Service{
			{Name: "akten", Floor: 1, Servers: 1},
			{Name: "antraege", Floor: 1, Servers: 1, Slots: 50, Queue: 50, Addresses: []string{b.address}, Deadline: deadline},
		},
	}), b
}

// startSigned is like startRaw, with a backend server that signs its answers: those without a length are accepted.
func startSigned(t *testing.T, deadline time.Duration) (*harness.Fleet, *rawBackend) {
	t.Helper()
	f, backend := startRaw(t, deadline)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if _, err := f.Apply(ctx, 0, f.Declaration()+"answers: {signature-header: X-Signature}\n", 1, "signed"); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitRevision(ctx, 2); err != nil {
		t.Fatal(err)
	}
	return f, backend
}
