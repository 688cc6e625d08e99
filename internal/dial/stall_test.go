package dial

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// TestStalledPeerIsAwaited guards against a connection that counts as lost because its peer, which is alive, does not read for
// longer than data may stay unacknowledged.
func TestStalledPeerIsAwaited(t *testing.T) {
	const (
		limit = time.Second
		stall = 3 * time.Second
		size  = 32 << 20
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	received := make(chan int64, 1)
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = socket.Close() }()
		time.Sleep(stall)
		n, _ := io.Copy(io.Discard, socket)
		received <- n
	}()
	open := Patient(Config{ConnectTimeout: time.Second, UserTimeout: limit})
	socket, err := open(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	piece := make([]byte, 32<<10)
	for sent := 0; sent < size; sent += len(piece) {
		if _, err := socket.Write(piece); err != nil {
			t.Fatalf("after %d bytes: %v", sent, err)
		}
	}
	_ = socket.Close()
	if got := <-received; got != size {
		t.Errorf("the peer received %d bytes, want %d", got, size)
	}
}

// TestSilentPeerIsNotAwaited guards against patience with a peer that does not acknowledge what was sent, or does not answer probes.
func TestSilentPeerIsNotAwaited(t *testing.T) {
	for name, test := range map[string]struct {
		state sendState
		want  bool
	}{
		"nothing to send":          {sendState{}, false},
		"a closed window":          {sendState{unsent: 1000}, true},
		"a probe on its way":       {sendState{unsent: 1000, probes: 1}, true},
		"packets on their way":     {sendState{unsent: 1000, flying: 1}, false},
		"probes without an answer": {sendState{unsent: 1000, probes: 2}, false},
	} {
		if got := test.state.windowClosed(); got != test.want {
			t.Errorf("%s: %t, want %t", name, got, test.want)
		}
	}
}
