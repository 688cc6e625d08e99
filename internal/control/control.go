// Package control carries the calls that daemons make to each other beside
// callers' requests: jsonrpc2 over TCP, one connection to each peer.
//
// # Usage
//
//	server, cleanUp, err := control.Serve(control.ServerConfig{Listener: listener, Handle: handle})
//	client, cleanUp := control.NewClient(control.ClientConfig{})
//	var report sidecar.Report
//	err := client.Call(ctx, "127.0.0.1:7402", control.MethodReport, control.Name{Name: "csepel/lookup-1"}, &report)
//
// A call's failure says nothing about whether the peer acted on it, so every
// method may be called again with the same effect.
package control

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/tideliftd/tidelift/internal/floor"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/revision"
)

// Method names a call.
type Method string

// The calls.
const (
	// MethodReport asks a sidecar for the state of one of its backend servers.
	MethodReport Method = "sidecar.report"
	// MethodDrain tells a sidecar that one of its backend servers is leaving, or no longer.
	MethodDrain Method = "sidecar.drain"
	// MethodLeaving tells that backend servers of another host take no more work.
	MethodLeaving Method = "ingress.leaving"
	// MethodPing asks for any answer.
	MethodPing Method = "daemon.ping"
	// MethodTrusted tells that backend servers of another host are no longer
	// doubted.
	MethodTrusted Method = "ingress.trusted"
	// MethodHost tells a daemon what the platform's list says of its host.
	MethodHost Method = "sidecar.host"
	// MethodNotice tells that there is a revision; MethodRevision asks which one
	// the peer has, and for its text if it is above the one given.
	MethodNotice   Method = "declaration.notice"
	MethodRevision Method = "declaration.revision"
	// MethodTold tells of hosts.
	MethodTold Method = "hosts.told"
	// MethodAsk asks a backend server for a promise to keep serving.
	MethodAsk Method = "floor.ask"
	// MethodRelease gives such a promise back.
	MethodRelease Method = "floor.release"
)

// Name is the parameter of a call about one backend server.
type Name struct {
	Name string `json:"name"`
}

// Drain is the parameter of MethodDrain.
type Drain struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Leaving is the parameter of MethodLeaving.
type Leaving struct {
	Names []string `json:"names"`
}

// Trusted is the parameter of MethodTrusted.
type Trusted struct {
	Names []string `json:"names"`
}

// Host is the parameter of MethodHost.
type Host struct {
	Leaving bool `json:"leaving"`
}

// Notice is the parameter of MethodNotice.
type Notice struct {
	// Host has the revision.
	Host     string `json:"host"`
	Revision int64  `json:"revision"`
}

// Above is the parameter of MethodRevision.
type Above struct {
	Revision int64 `json:"revision"`
	// Hosts is a hash of all that the asking daemon knows of hosts; zero if it
	// does not ask for them.
	Hosts uint64 `json:"hosts,omitempty"`
}

// Told is the parameter of MethodTold.
type Told struct {
	// Host is who tells.
	Host  string        `json:"host"`
	Hosts []member.Host `json:"hosts"`
	// Digest is of all that it knows, by which it asks for the rest; it may be
	// empty.
	Digest []uint64 `json:"digest,omitempty"`
}

// Rest answers MethodTold with what the teller does not know.
type Rest struct {
	Hosts []member.Host `json:"hosts,omitempty"`
}

// Held answers MethodRevision.
type Held struct {
	// Revision is what the peer has in force, with its text only if that is
	// above what was asked.
	Revision revision.Revision `json:"revision"`
	// SilentMs is how long ago the peer knew the platform to answer.
	SilentMs int64 `json:"silent_ms"`
	// Digest is of all that the peer knows of hosts; it is left out if the asking
	// daemon knows the same.
	Digest []uint64 `json:"digest,omitempty"`
}

// Ask is the parameter of MethodAsk.
type Ask struct {
	Name    string        `json:"name"`
	Request floor.Request `json:"request"`
}

// Release is the parameter of MethodRelease.
type Release struct {
	Name    string        `json:"name"`
	Release floor.Release `json:"release"`
}

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

// acceptPause is between a failed accept and the next.
const acceptPause = 50 * time.Millisecond

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
		conn := jsonrpc2.NewConn(ctx, newStream(socket), handler)
		context.AfterFunc(ctx, func() { _ = conn.Close() })
	}
}

func newStream(socket net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(socket, jsonrpc2.VarintObjectCodec{})
}

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

func encodeError(err error) *jsonrpc2.Error {
	e := result.From(err)
	return &jsonrpc2.Error{Code: int64(e.Code.Number), Message: e.Detail}
}

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
