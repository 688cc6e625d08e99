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

// idleTimeout is how long an unused connection is kept open. It exceeds the interval between periodic calls to
// the same peer, such as reports and leases.
const idleTimeout = 30 * time.Second

// Client calls peers over one connection per recently called peer.
type Client struct {
	config ClientConfig

	mu        sync.Mutex
	conns     map[string]*peer
	lastSweep time.Time
}

// peer holds the connection to one peer.
type peer struct {
	conn     *jsonrpc2.Conn
	lastUsed time.Time
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// TLS authenticates this daemon to its peers; nil disables TLS.
	TLS *tls.Config
	// ShouldCompress reports whether traffic to the address is expensive and is therefore compressed, which
	// happens only without TLS; nil if no traffic is compressed.
	ShouldCompress func(address string) bool
	// DataCentre is the data centre of this daemon. Hosts accept calls from their own data centre and from
	// others at different addresses.
	DataCentre string
	// Logger receives events of failed calls.
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

// Call calls the peer at the address and decodes its response into answer, which
// may be nil.
func (c *Client) Call(ctx context.Context, address string, method Method, params, answer any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return result.Wrap(result.PeerSilent, errors.Wrapf(err, "connect to %s", address)).WithDetail("%s does not answer", address)
	}
	if err := conn.Call(ctx, string(method), params, answer); err != nil {
		if ctx.Err() != nil {
			c.drop(address, conn) // the connection may be dead; the next call opens a new one
		}
		return decodeError(errors.Wrapf(err, "call %s of %s", method, address))
	}
	return nil
}

// conn returns the connection to the address and opens one if there is none.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	if conn, ok := c.existing(address, time.Now()); ok {
		return conn, nil
	}
	socket, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this connection carries calls in the other direction only"}
	})
	conn := jsonrpc2.NewConn(context.Background(), newStream(socket), refuse, discardLog)
	return c.keep(address, conn, time.Now()), nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := dial.New(dial.ToDaemons())
	if c.config.TLS == nil {
		return dial.Compressed(dialer.DialContext, c.config.ShouldCompress)(ctx, "tcp", address)
	}
	secure := tls.Dialer{NetDialer: dialer, Config: c.config.TLS}
	return secure.DialContext(ctx, "tcp", address)
}

func (c *Client) existing(address string, now time.Time) (*jsonrpc2.Conn, bool) {
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
		p.lastUsed = now
		return p.conn, true
	}
}

// drop closes a connection on which a call received no response.
func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.conns[address]; ok && p.conn == conn {
		delete(c.conns, address)
	}
	_ = conn.Close()
}

// sweep closes idle connections, so that a daemon that calls peers at random
// does not keep a connection to each of them.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < idleTimeout {
		return
	}
	c.lastSweep = now
	for address, p := range c.conns {
		if now.Sub(p.lastUsed) >= idleTimeout {
			_ = p.conn.Close()
			delete(c.conns, address)
		}
	}
}

// keep registers the connection. If another one was registered first, keep closes
// the new connection and returns the registered one.
func (c *Client) keep(address string, conn *jsonrpc2.Conn, now time.Time) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first, ok := c.conns[address]; ok {
		_ = conn.Close()
		return first.conn
	}
	c.conns[address] = &peer{conn: conn, lastUsed: now}
	return conn
}
