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

// serve starts a server that accepts plain and compressed connections, and returns its address.
func serve(t *testing.T, handle control.Handle) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(control.Serve(control.ServerConfig{Listener: compress.Listen(listener), Handle: handle}))
	return listener.Addr().String()
}

// TestUnresponsiveConnectionIsReplaced guards against calls that stay on a dead connection:
// the call after one that timed out uses a new connection.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
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
		t.Fatal("a call to an unresponsive peer succeeded")
	}
	if err := ping(); err != nil {
		t.Fatalf("the next call failed; it must use a new connection: %v", err)
	}
}

// relay forwards all connections but the first, which it leaves unanswered.
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

// TestCallsOverPlainAndCompressedConnections calls a server that accepts both kinds of
// connection over each of them.
func TestCallsOverPlainAndCompressedConnections(t *testing.T) {
	address := serve(t, func(_ context.Context, _ control.Method, params json.RawMessage) (any, error) {
		return params, nil
	})
	for _, far := range []bool{false, true} {
		client, cleanUp := control.NewClient(control.ClientConfig{ShouldCompress: func(string) bool { return far }})
		defer cleanUp()
		for range 3 {
			var back string
			if err := client.Call(context.Background(), address, control.MethodPing, "there", &back); err != nil || back != "there" {
				t.Fatalf("far %v: %q, %v", far, back, err)
			}
		}
	}
}

// childProcessEnv makes the test below run its server in a child process, so that the complete
// standard error output can be captured.
const childProcessEnv = "TIDELIFT_TEST_BROKEN_CONNECTION"

// TestBrokenConnectionIsNotLoggedToStderr guards against the jsonrpc2 library logging malformed
// calls to standard error, which bypasses the daemon's bounded, non-blocking log.
func TestBrokenConnectionIsNotLoggedToStderr(t *testing.T) {
	if os.Getenv(childProcessEnv) != "" {
		sendMalformedCall(t)
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), childProcessEnv+"=1")
	var stderr bytes.Buffer
	child.Stderr = &stderr
	if err := child.Run(); err != nil {
		t.Fatal(err)
	}
	if stderr.Len() > 0 {
		t.Fatalf("unexpected output on standard error: %s", stderr.String())
	}
}

// sendMalformedCall sends malformed bytes to a server, waits until the connection is closed, and
// then a little longer for log output of the library.
func sendMalformedCall(t *testing.T) {
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
