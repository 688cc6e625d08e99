package backend_test

import (
	"net"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/backend"
	"github.com/tideliftd/tidelift/internal/dial"
)

// listen returns a listener and a pool for its address; connects counts the new connections.
func listen(t *testing.T, connects *int) (net.Listener, *backend.Pool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	dialer := dial.New(dial.Config{ConnectTimeout: time.Second, UserTimeout: time.Second})
	pool, cleanUp := backend.New(backend.Config{
		Address:   listener.Addr().String(),
		Dial:      dialer.DialContext,
		OnConnect: func() { *connects++ },
	})
	t.Cleanup(cleanUp)
	return listener, pool
}

// TestServerThatRefusesConnectionsHasEnded guards against a missed end of a backend server that
// refuses connections, and against reporting it twice.
func TestServerThatRefusesConnectionsHasEnded(t *testing.T) {
	var connects int
	listener, pool := listen(t, &connects)
	_ = listener.Close()
	if !pool.CheckEnded(func() { t.Error("end reported twice") }) {
		t.Fatal("backend server without a listener is reported as running")
	}
}

// TestServerThatAcceptsConnectionsHasNotEnded guards against reporting the end of a backend server
// that accepts connections, and against wasting the connection made by the check.
func TestServerThatAcceptsConnectionsHasNotEnded(t *testing.T) {
	var connects int
	listener, pool := listen(t, &connects)
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(socket, func(id string, _ int) string { return reply(id, "done", "") })
		}
	}()
	if pool.CheckEnded(func() { t.Error("running backend server is reported as ended") }) {
		t.Fatal("running backend server is reported as ended")
	}
	const secondCheckOver = 300 * time.Millisecond // due after endRecheckDelay; the connection may stay idle for a second
	time.Sleep(secondCheckOver)
	if body, err := send(pool, "a"); err != nil || body != "done" {
		t.Fatalf("%q %v", body, err)
	}
	if connects != 1 {
		t.Fatalf("%d connections, want only the one that the check made", connects)
	}
}

// TestServerThatClosesItsListenerLastHasEnded guards against a missed end if the listener is closed
// only after the first check.
func TestServerThatClosesItsListenerLastHasEnded(t *testing.T) {
	var connects int
	listener, pool := listen(t, &connects)
	ended := make(chan struct{})
	if pool.CheckEnded(func() { close(ended) }) {
		t.Fatal("listening backend server is reported as ended")
	}
	_ = listener.Close() // also resets connections that were not accepted
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("end was not reported")
	}
}
