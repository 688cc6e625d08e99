package accept

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestCloseIsNoReset guards against a close that discards what the peer has not received, because the peer has sent more.
func TestCloseIsNoReset(t *testing.T) {
	const size = 128 << 10
	for name, sendBefore := range map[string]bool{"sent before the close": true, "sent after the close": false} {
		t.Run(name, func(t *testing.T) {
			client, server, listener := connected(t)
			if sendBefore {
				write(t, client)
			}
			if _, err := server.Write(make([]byte, size)); err != nil {
				t.Fatal(err)
			}
			if err := server.Close(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * lingerTimeout)
			if !sendBefore {
				write(t, client)
			}
			time.Sleep(lingerTimeout)
			if data, err := io.ReadAll(client); err != nil || len(data) != size {
				t.Fatalf("received %d of %d bytes, %v", len(data), size, err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if open := listener.AwaitClosed(ctx); open != 0 {
				t.Errorf("%d connections are not closed after the peer received everything", open)
			}
		})
	}
}

// TestStalledPeerDelaysNoStop guards against a process that waits for a peer that never reads beyond the end of ctx.
func TestStalledPeerDelaysNoStop(t *testing.T) {
	_, server, listener := connected(t)
	if _, err := server.Write(make([]byte, 1<<20)); err != nil {
		t.Fatal(err)
	}
	_ = server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*lingerTimeout)
	defer cancel()
	if open := listener.AwaitClosed(ctx); open != 1 {
		t.Errorf("%d connections are open, want the one whose peer does not read", open)
	}
}

// TestResponseToNoRequestDelaysNoStop guards against a stop that waits for a peer which has gone and never receives the
// response that its connection was not used, and against a response to a request that is lost with it.
func TestResponseToNoRequestDelaysNoStop(t *testing.T) {
	for name, test := range map[string]struct {
		before int // bytes of a response that the peer has not received
		want   int // connections that a stop waits for
	}{"nothing to receive": {0, 0}, "an answer to receive": {1 << 20, 1}} {
		t.Run(name, func(t *testing.T) {
			_, server, listener := connected(t)
			if _, err := server.Write(make([]byte, test.before)); err != nil {
				t.Fatal(err)
			}
			Of(server).LingerBriefly()
			if _, err := server.Write(make([]byte, 1<<20)); err != nil { // more than the peer's buffer
				t.Fatal(err)
			}
			_ = server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 3*lingerTimeout)
			defer cancel()
			if open := listener.AwaitClosed(ctx); open != test.want {
				t.Errorf("%d connections are open, want %d", open, test.want)
			}
		})
	}
}

// TestCloseEndsPendingRead guards against a read that continues after another goroutine has closed the connection.
func TestCloseEndsPendingRead(t *testing.T) {
	client, server, _ := connected(t)
	ended := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 1))
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	_ = server.Close()
	write(t, client)
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("the read ended with %v, want net.ErrClosed", err)
	}
	if _, err := server.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a read after the close ended with %v, want net.ErrClosed", err)
	}
}

// TestLingerProgress guards against connections that are kept open for peers that receive nothing, or are closed while
// peers receive slowly.
func TestLingerProgress(t *testing.T) {
	start := time.Now()
	type step struct {
		after      time.Duration
		unreceived int
		want       bool
	}
	brief := map[string]bool{"brief, nothing received": true, "brief, received slowly": true}
	for name, steps := range map[string][]step{
		"brief, nothing received": {{0, 9, true}, {lingerTimeout - 1, 9, true}, {lingerTimeout, 9, false}},
		"brief, received slowly":  {{0, 9, true}, {lingerTimeout - 1, 1, true}, {lingerTimeout, 0, false}},
		"all received":            {{0, 0, true}, {lingerTimeout - 1, 0, true}, {lingerTimeout, 0, false}},
		"received late":           {{0, 9, true}, {stallTimeout - 1, 0, true}, {stallTimeout - 1 + lingerTimeout, 0, false}},
		"nothing received":        {{0, 9, true}, {stallTimeout - 1, 9, true}, {stallTimeout, 9, false}},
		"received slowly":         {{0, 9, true}, {stallTimeout - 1, 8, true}, {2*stallTimeout - 2, 7, true}, {3*stallTimeout - 2, 7, false}},
	} {
		progress := lingerProgress{brief: brief[name]}
		for _, s := range steps {
			if got := progress.continues(start.Add(s.after), s.unreceived); got != s.want {
				t.Errorf("%s: after %s with %d bytes left continues %t, want %t", name, s.after, s.unreceived, got, s.want)
			}
		}
	}
}

// connected returns the two ends of a connection, the first with a small receive buffer, and the listener of the other.
func connected(t *testing.T) (client *net.TCPConn, server net.Conn, listener *Listener) {
	t.Helper()
	listener, err := Listen(Config{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialled.Close() })
	client = dialled.(*net.TCPConn)
	if err := client.SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return client, server, listener
}

func write(t *testing.T, client net.Conn) {
	t.Helper()
	if _, err := client.Write(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
}
