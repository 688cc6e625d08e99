package control

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/tideliftd/tidelift/internal/result"
)

// Handle answers a call. A *result.Error reaches the peer with its code.
type Handle func(ctx context.Context, method Method, params json.RawMessage) (any, error)

// ServerConfig says what a server listens on and who answers.
type ServerConfig struct {
	Listener net.Listener
	Handle   Handle
}

// Serve answers peers' calls until the clean-up function is called.
func Serve(config ServerConfig) func() {
	ctx, cancel := context.WithCancel(context.Background())
	go acceptAll(ctx, config)
	return func() {
		cancel()
		_ = config.Listener.Close()
	}
}

// acceptPause is between a failed accept and the next. Not measured: file descriptors come free within
// some requests' time, and twenty tries a second cost nothing.
const acceptPause = 50 * time.Millisecond

// acceptAll takes connections until the listener is closed.
func acceptAll(ctx context.Context, config ServerConfig) {
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(adapt(config.Handle)))
	for {
		socket, err := config.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause) // such as no file descriptor left for the moment
			continue
		}
		conn := jsonrpc2.NewConn(ctx, newStream(socket), handler, unlogged)
		context.AfterFunc(ctx, func() { _ = conn.Close() })
	}
}

// unlogged keeps the library from writing of broken connections to the standard error output,
// unbounded and around the daemon's log. Whoever called hears of them by the call's error.
var unlogged = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// newStream frames messages by their length.
func newStream(socket net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(socket, jsonrpc2.VarintObjectCodec{})
}

// adapt makes the function the library's handler.
func adapt(handle Handle) func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		var params json.RawMessage
		if r.Params != nil {
			params = *r.Params
		}
		answer, err := handle(ctx, Method(r.Method), params)
		if err != nil {
			return nil, encodeError(err)
		}
		return answer, nil
	}
}

// encodeError carries a result code to the peer.
func encodeError(err error) *jsonrpc2.Error {
	e := result.From(err)
	return &jsonrpc2.Error{Code: int64(e.Code.Number), Message: e.Detail}
}

// decodeError reads the result code that the peer answered; a call without an answer
// is a silent peer.
func decodeError(err error) error {
	var remote *jsonrpc2.Error
	if !errors.As(err, &remote) {
		return result.Wrap(result.PeerSilent, err)
	}
	code, ok := result.ByNumber(int(remote.Code))
	if !ok {
		return result.Wrap(result.PeerSilent, err)
	}
	return result.New(code).WithDetail("%s", remote.Message)
}
