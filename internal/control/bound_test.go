package control_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/bound"
	"github.com/tideliftd/tidelift/internal/control"
)

// TestCallsAreBounded guards against a daemon that keeps what a peer sends without end as a call, or that reads the
// connection after it.
func TestCallsAreBounded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	called := make(chan control.Method, 1)
	t.Cleanup(control.Serve(control.ServerConfig{Listener: listener, Handle: func(_ context.Context, method control.Method, _ json.RawMessage) (any, error) {
		called <- method
		return control.Done{}, nil
	}}))
	for name, size := range map[string]uint64{"one more than the bound": bound.Call + 1, "the greatest": math.MaxUint64, "more than an int64": math.MaxInt64 + 1} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Write(binary.AppendUvarint(nil, size)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, `{"jsonrpc":"2.0","id":1,"method":"daemon.ping"}`); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		if n, err := conn.Read(make([]byte, 1)); n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: the connection goes on: %d bytes, %v", name, n, err)
		}
	}
	client, cleanUp := control.NewClient(control.ClientConfig{Logger: slog.New(slog.DiscardHandler)})
	defer cleanUp()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	long := control.Name{Name: strings.Repeat("x", bound.Call/2)}
	if err := client.Call(ctx, listener.Addr().String(), control.MethodPing, long, nil); err != nil {
		t.Errorf("a long call failed: %v", err)
	}
	if len(called) != 1 {
		t.Error("the handler was not called, or was called for a message beyond the bound")
	}
}
