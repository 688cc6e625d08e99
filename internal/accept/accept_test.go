package accept_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/accept"
)

// TestRefuseResetsNoConnection guards against resetting established connections that wait to be accepted when the
// listener closes.
func TestRefuseResetsNoConnection(t *testing.T) {
	const (
		stops   = 20
		callers = 20
	)
	for range stops {
		var served, refused, cut atomic.Int64
		listener := listen(t)
		var clients sync.WaitGroup
		started := time.Now()
		for range callers {
			clients.Go(func() {
				for time.Since(started) < 100*time.Millisecond {
					switch connected, answered := roundTrip(listener.Addr().String()); {
					case !connected:
						refused.Add(1)
					case answered:
						served.Add(1)
					default:
						cut.Add(1)
					}
				}
			})
		}
		go answerAll(listener)
		time.Sleep(20 * time.Millisecond)
		listener.Refuse()
		clients.Wait()
		if cut.Load() > 0 || served.Load() == 0 || refused.Load() == 0 {
			t.Fatalf("%d connections served, %d refused and %d reset; want some served, some refused and none reset", served.Load(), refused.Load(), cut.Load())
		}
	}
}

// TestRefuseKeepsQueuedConnections guards against closing the listener before a slow program has accepted the queued
// connections.
func TestRefuseKeepsQueuedConnections(t *testing.T) {
	const waiting = 10
	listener := listen(t)
	connect(t, listener, waiting)
	listener.Refuse()
	acceptAll(t, listener, waiting, 20*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	listener.Wait(ctx)
	if ctx.Err() != nil {
		t.Fatal("the listener is not closed")
	}
}

// TestRefuseKeepsConnectionsOfStalledProgram guards against closing the listener with connections in its queue when the
// program gets no processor for so long that its deadline passes before it accepts.
func TestRefuseKeepsConnectionsOfStalledProgram(t *testing.T) {
	const (
		waiting = 100
		stall   = time.Second
	)
	listener := listen(t)
	connect(t, listener, waiting)
	listener.Refuse()
	time.Sleep(stall)
	acceptAll(t, listener, waiting, 0)
}

// connect makes connections that wait in the listener's accept queue.
func connect(t *testing.T, listener *accept.Listener, count int) {
	t.Helper()
	for range count {
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
	}
}

// acceptAll accepts the connections with a pause after each, and fails the test unless the listener is closed after them.
func acceptAll(t *testing.T, listener *accept.Listener, count int, pause time.Duration) {
	t.Helper()
	for n := range count {
		socket, err := listener.Accept()
		if err != nil {
			t.Fatalf("accepted %d of %d connections: %v", n, count, err)
		}
		t.Cleanup(func() { _ = socket.Close() })
		time.Sleep(pause)
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("Accept after the last connection returned %v, want net.ErrClosed", err)
	}
}

func listen(t *testing.T) *accept.Listener {
	t.Helper()
	listener, err := accept.Listen(accept.Config{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// answerAll echoes the byte that each connection sends.
func answerAll(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = socket.Close() }()
			var question [1]byte
			if _, err := socket.Read(question[:]); err == nil {
				_, _ = socket.Write(question[:])
			}
		}()
	}
}

// roundTrip reports whether a connection was established, and whether a response was received.
func roundTrip(address string) (connected, answered bool) {
	client, err := net.Dial("tcp", address)
	if err != nil {
		return false, false
	}
	defer func() { _ = client.Close() }()
	if _, err := client.Write([]byte{1}); err != nil {
		return true, false
	}
	var answer [1]byte
	_, err = client.Read(answer[:])
	return true, err == nil
}
