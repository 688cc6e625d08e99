package control

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/tideliftd/tidelift/internal/dial"
	"github.com/tideliftd/tidelift/internal/result"
)

// idleTimeout is how long a connection without calls is kept. Not measured: longer than the pauses between
// calls that a daemon makes to the same others, such as reports and leases.
const idleTimeout = 30 * time.Second

// Client calls peers, over one connection to each that it has called of late.
type Client struct {
	config ClientConfig

	mu    sync.Mutex
	conns map[string]*peer
	swept time.Time
}

// peer is the connection to one peer.
type peer struct {
	conn *jsonrpc2.Conn
	used time.Time
}

// ClientConfig says how a client connects.
type ClientConfig struct {
	// TLS is what the daemon proves itself with to others; nil for none.
	TLS *tls.Config
	// Far reports whether bytes to the address are dear and travel compressed, which they do
	// without TLS alone; nil if none do.
	Far func(address string) bool
	// DataCentre is this daemon's; hosts take calls from it and from others at different addresses.
	DataCentre string
	// Logger receives events of calls that were not answered.
	Logger *slog.Logger
}

// NewClient returns a client and a function that closes its connections.
func NewClient(config ClientConfig) (*Client, func()) {
	c := &Client{config: config, conns: make(map[string]*peer)}
	return c, c.close
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.conns {
		_ = p.conn.Close()
	}
	clear(c.conns)
}

// Call calls the peer at the address and reads its answer into answer, which may
// be nil.
func (c *Client) Call(ctx context.Context, address string, method Method, params, answer any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return result.Wrap(result.PeerSilent, errors.Wrapf(err, "connect to %s", address)).WithDetail("%s does not answer", address)
	}
	if err := conn.Call(ctx, string(method), params, answer); err != nil {
		if ctx.Err() != nil {
			c.drop(address, conn) // a silent path; the next call tries a new one
		}
		return decodeError(errors.Wrapf(err, "call %s of %s", method, address))
	}
	return nil
}

// conn returns the connection to the address, opened now if there is none.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	if conn, ok := c.known(address, time.Now()); ok {
		return conn, nil
	}
	socket, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
	})
	conn := jsonrpc2.NewConn(context.Background(), newStream(socket), refuse, unlogged)
	return c.keep(address, conn, time.Now()), nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := dial.New(dial.ToDaemons())
	if c.config.TLS == nil {
		return dial.Compressed(dialer, c.config.Far)(ctx, "tcp", address)
	}
	secure := tls.Dialer{NetDialer: dialer, Config: c.config.TLS}
	return secure.DialContext(ctx, "tcp", address)
}

func (c *Client) known(address string, now time.Time) (*jsonrpc2.Conn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	p, ok := c.conns[address]
	if !ok {
		return nil, false
	}
	select {
	case <-p.conn.DisconnectNotify():
		delete(c.conns, address)
		return nil, false
	default:
		p.used = now
		return p.conn, true
	}
}

// drop closes a connection on which no answer came.
func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.conns[address]; ok && p.conn == conn {
		delete(c.conns, address)
	}
	_ = conn.Close()
}

// sweep closes the connections that have not been used for a while, so that a
// daemon that calls others at random does not keep one to each.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.swept) < idleTimeout {
		return
	}
	c.swept = now
	for address, p := range c.conns {
		if now.Sub(p.used) >= idleTimeout {
			_ = p.conn.Close()
			delete(c.conns, address)
		}
	}
}

// keep remembers the connection, or closes it for one that came first.
func (c *Client) keep(address string, conn *jsonrpc2.Conn, now time.Time) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first, ok := c.conns[address]; ok {
		_ = conn.Close()
		return first.conn
	}
	c.conns[address] = &peer{conn: conn, used: now}
	return conn
}
