package backend_test

import (
	"net"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/backend"
	"github.com/tideliftd/tidelift/internal/dial"
)

// listen returns a listener and a pool of connections to it.
func listen(t *testing.T, connects *int) (net.Listener, *backend.Pool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	dialer := dial.New(dial.Config{Connect: time.Second, Unacknowledged: time.Second})
	pool, cleanUp := backend.New(backend.Config{
		Address:   listener.Addr().String(),
		Dial:      dialer.DialContext,
		OnConnect: func() { *connects++ },
	})
	t.Cleanup(cleanUp)
	return listener, pool
}

// TestOneThatRefusesConnectionsHasEnded asks after the listener was closed.
func TestOneThatRefusesConnectionsHasEnded(t *testing.T) {
	var connects int
	listener, pool := listen(t, &connects)
	_ = listener.Close()
	if !pool.CheckEnded(func() { t.Error("told twice") }) {
		t.Fatal("nobody listens, and it has not ended")
	}
}

// TestOneThatBreaksConnectionsGoesOn asks one that takes the next connection, which then serves a
// request.
func TestOneThatBreaksConnectionsGoesOn(t *testing.T) {
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
	if pool.CheckEnded(func() { t.Error("it is said to have ended") }) {
		t.Fatal("it is said to have ended")
	}
	const secondCheckOver = 300 * time.Millisecond // due after endSettles; the connection stays idle for a second
	time.Sleep(secondCheckOver)
	if body, err := send(pool, "a"); err != nil || body != "done" {
		t.Fatalf("%q %v", body, err)
	}
	if connects != 1 {
		t.Fatalf("%d connections, want the one that the question made", connects)
	}
}

// TestOneThatClosesItsListenerLastHasEnded takes a connection and closes it with the listener a moment
// later.
func TestOneThatClosesItsListenerLastHasEnded(t *testing.T) {
	var connects int
	listener, pool := listen(t, &connects)
	ended := make(chan struct{})
	if pool.CheckEnded(func() { close(ended) }) {
		t.Fatal("it still listens")
	}
	_ = listener.Close() // also resets what it has not accepted
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("nobody was told of the end")
	}
}
