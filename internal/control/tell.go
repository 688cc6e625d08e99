package control

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
)

// NotifyTimeout bounds a call whose answer nobody waits for. Not measured: it only keeps calls to
// silent daemons from adding up, and is many times what a call between data centres takes.
const NotifyTimeout = 2 * time.Second

// Address returns where the host takes control calls from this data centre.
func (c *Client) Address(host fleet.Host) string { return host.ControlFrom(c.config.DataCentre) }

// CallHost calls the daemon of the host.
func (c *Client) CallHost(ctx context.Context, host fleet.Host, method Method, params, answer any) error {
	return c.Call(ctx, c.Address(host), method, params, answer)
}

// Notify makes a call whose answer says nothing to each of the hosts, and waits for none.
func (c *Client) Notify(hosts []fleet.Host, method Method, params any) {
	for _, host := range hosts {
		go c.tell(host, method, params)
	}
}

func (c *Client) tell(host fleet.Host, method Method, params any) {
	ctx, cancel := context.WithTimeout(context.Background(), NotifyTimeout)
	defer cancel()
	_ = c.CallLogged(ctx, c.Address(host), method, params, nil) // nobody waits, and it is logged
}

// CallLogged calls the daemon at the address like Call, and logs it if there is no answer.
func (c *Client) CallLogged(ctx context.Context, address string, method Method, params, answer any) error {
	err := c.Call(ctx, address, method, params, answer)
	if err != nil {
		event.Log(c.config.Logger, event.PeerSilent, "address", address, "call", method, "error", err)
	}
	return err
}
