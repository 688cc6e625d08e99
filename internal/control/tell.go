package control

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
)

// NotifyTimeout limits a call whose response is not awaited, so that calls to unresponsive daemons do not
// accumulate. It is many times the duration of a call between data centres.
const NotifyTimeout = 2 * time.Second

// Address returns the host's address for control calls from this data centre.
func (c *Client) Address(host fleet.Host) string { return host.ControlFrom(c.config.DataCentre) }

// CallHost calls the daemon of the host.
func (c *Client) CallHost(ctx context.Context, host fleet.Host, method Method, params, answer any) error {
	return c.Call(ctx, c.Address(host), method, params, answer)
}

// Notify calls the method on each of the hosts in the background and ignores the responses.
func (c *Client) Notify(hosts []fleet.Host, method Method, params any) {
	for _, host := range hosts {
		go c.notify(host, method, params)
	}
}

func (c *Client) notify(host fleet.Host, method Method, params any) {
	ctx, cancel := context.WithTimeout(context.Background(), NotifyTimeout)
	defer cancel()
	_ = c.CallLogged(ctx, c.Address(host), method, params, nil) // CallLogged logs a failure
}

// CallLogged calls the daemon at the address like Call, and logs a failed call.
func (c *Client) CallLogged(ctx context.Context, address string, method Method, params, answer any) error {
	err := c.Call(ctx, address, method, params, answer)
	if err != nil {
		event.Log(c.config.Logger, event.PeerSilent, "address", address, "call", method, "error", err)
	}
	return err
}
