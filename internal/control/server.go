package control

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"log"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/tideliftd/tidelift/internal/bound"
	"github.com/tideliftd/tidelift/internal/result"
)

// Handle answers a call. If it returns a *result.Error, the peer receives its code.
type Handle func(ctx context.Context, method Method, params json.RawMessage) (any, error)

// ServerConfig configures Serve.
type ServerConfig struct {
	Listener net.Listener
	Handle   Handle
}

// Serve answers peers' calls until the returned clean-up function is called.
func Serve(config ServerConfig) func() {
	ctx, cancel := context.WithCancel(context.Background())
	go acceptAll(ctx, config)
	return func() {
		cancel()
		_ = config.Listener.Close()
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// acceptAll accepts connections until the listener is closed.
func acceptAll(ctx context.Context, config ServerConfig) {
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(adapt(config.Handle)))
	for {
		socket, err := config.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // for example, no file descriptor is available
			continue
		}
		conn := jsonrpc2.NewConn(ctx, newStream(socket), handler, discardLog)
		context.AfterFunc(ctx, func() { _ = conn.Close() })
	}
}

// discardLog keeps the jsonrpc2 library from logging broken connections to standard error, which is
// unbounded and bypasses the daemon's log. Callers receive an error from their call.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// newStream returns a stream of length-prefixed messages.
func newStream(socket net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(socket, codec{})
}

// codec is the library's codec with a bound on the messages that are read. After an error the connection is closed.
type codec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject reads a message.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > bound.Call {
		return errors.Wrapf(bound.ErrExceeded, "read a call of %d bytes", size)
	}
	data, err := bound.ReadAll(io.LimitReader(stream, int64(size)), bound.Call)
	if err != nil {
		return err
	}
	if len(data) < int(size) {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(data, v)
}

// adapt converts handle to a handler of the jsonrpc2 library.
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

// encodeError converts an error to a jsonrpc2 error with its result code.
func encodeError(err error) *jsonrpc2.Error {
	e := result.From(err)
	return &jsonrpc2.Error{Code: int64(e.Code.Number), Message: e.Detail}
}

// decodeError returns an error with the result code of the peer's response, or with PeerSilent
// if there was no valid response.
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
