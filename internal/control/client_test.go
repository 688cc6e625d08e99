package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/compress"
	"github.com/tideliftd/tidelift/internal/control"
)

// serve answers calls on either kind of connection, and returns the address.
func serve(t *testing.T, handle control.Handle) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(control.Serve(control.ServerConfig{Listener: compress.Listen(listener), Handle: handle}))
	return listener.Addr().String()
}

// TestASilentConnectionIsGivenUp calls a peer behind a connection that goes silent:
// the call after the one that ended without an answer takes a new connection.
func TestASilentConnectionIsGivenUp(t *testing.T) {
	inner := serve(t, func(context.Context, control.Method, json.RawMessage) (any, error) {
		return struct{}{}, nil
	})
	outer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = outer.Close() }()
	go relay(outer, inner)
	client, cleanUp := control.NewClient(control.ClientConfig{})
	defer cleanUp()
	ping := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		return client.Call(ctx, outer.Addr().String(), control.MethodPing, struct{}{}, nil)
	}
	if ping() == nil {
		t.Fatal("a silent peer answered")
	}
	if err := ping(); err != nil {
		t.Fatalf("the next call went the same way: %v", err)
	}
}

// relay passes connections on, all but the first, which it leaves silent.
func relay(listener net.Listener, address string) {
	for n := 0; ; n++ {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		if n == 0 {
			continue
		}
		out, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(out, in) }()
		go func() { _, _ = io.Copy(in, out) }()
	}
}

// TestACallToAnotherDataCentreTravelsCompressed calls a peer that takes both kinds of
// connection, by either.
func TestACallToAnotherDataCentreTravelsCompressed(t *testing.T) {
	address := serve(t, func(_ context.Context, _ control.Method, params json.RawMessage) (any, error) {
		return params, nil
	})
	for _, far := range []bool{false, true} {
		client, cleanUp := control.NewClient(control.ClientConfig{Far: func(string) bool { return far }})
		defer cleanUp()
		for range 3 {
			var back string
			if err := client.Call(context.Background(), address, control.MethodPing, "there", &back); err != nil || back != "there" {
				t.Fatalf("far %v: %q, %v", far, back, err)
			}
		}
	}
}

// childVariable makes the test below play its part in a process of its own, whose standard
// error output can be read whole.
const childVariable = "TIDELIFT_TEST_BROKEN_CONNECTION"

// TestABrokenConnectionLeavesNoLineOfItsOwn sends a server bytes that are no call: what the
// library would say of it goes around the daemon's log, which is bounded and keeps nobody
// waiting.
func TestABrokenConnectionLeavesNoLineOfItsOwn(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		breakAConnection(t)
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), childVariable+"=1")
	var said bytes.Buffer
	child.Stderr = &said
	if err := child.Run(); err != nil {
		t.Fatal(err)
	}
	if said.Len() > 0 {
		t.Fatalf("a line went around the log: %s", said.String())
	}
}

// breakAConnection sends a server bytes that are no call, and waits until it has closed the
// connection and a moment more, in which the library says what it has to say.
func breakAConnection(t *testing.T) {
	t.Helper()
	socket, err := net.Dial("tcp", serve(t, nil))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = socket.Write([]byte("\x05nope!"))
	_ = socket.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := socket.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("the connection was not closed: %v", err)
	}
	time.Sleep(200 * time.Millisecond)
}
