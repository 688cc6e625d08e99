package harness

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/operatorapi"
)

// pollInterval is the interval between checks of a condition that is waited for.
const pollInterval = 20 * time.Millisecond

// Daemon is a tideliftd process.
type Daemon struct {
	process
	Name       string
	DataCentre string

	fleet  *Fleet
	number int
}

// CallersAddress returns the IP:port for callers' requests.
func (d *Daemon) CallersAddress() string { return d.fleet.net.address(d.number, portCallers) }

// PeersAddress returns the IP:port for other daemons' requests.
func (d *Daemon) PeersAddress() string { return d.fleet.net.address(d.number, portPeers) }

// ControlAddress returns the IP:port for control calls.
func (d *Daemon) ControlAddress() string { return d.fleet.net.address(d.number, portControl) }

// OperatorsAddress returns the IP:port of the operator API.
func (d *Daemon) OperatorsAddress() string { return d.fleet.net.address(d.number, portOperators) }

// ReadyAddress returns the IP:port of the readiness check.
func (d *Daemon) ReadyAddress() string { return d.fleet.net.address(d.number, portReady) }

// peersFrom returns the address of the proxy for requests from the data centre of that number.
func (d *Daemon) peersFrom(dataCentre int) string {
	return d.fleet.net.address(d.number, portPeers+100*(dataCentre+1))
}

// controlFrom returns the address of the proxy for control calls from the data centre of that number.
func (d *Daemon) controlFrom(dataCentre int) string {
	return d.fleet.net.address(d.number, portControl+100*(dataCentre+1))
}

// Client returns a client of the operator API.
func (d *Daemon) Client() *operatorapi.Client {
	client, err := operatorapi.NewClient("http://"+d.OperatorsAddress(), operatorapi.WithClient(tokenClient{d.fleet.Spec.Token}))
	if err != nil {
		panic(err) // unreachable: the address is well formed
	}
	return client
}

// tokenClient adds a bearer token to each call.
type tokenClient struct{ token string }

// Do sends the call with the token, if there is one.
func (c tokenClient) Do(r *http.Request) (*http.Response, error) {
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	return http.DefaultClient.Do(r)
}

// seeds returns the control addresses of the first daemon of each other data
// centre, as a YAML list.
func (d *Daemon) seeds() string {
	var addresses []string
	for i := 0; i < len(d.fleet.Daemons); i += d.fleet.Spec.HostsEach {
		if other := d.fleet.Daemons[i]; other.DataCentre != d.DataCentre {
			addresses = append(addresses, other.ControlAddress())
		}
	}
	return "[" + strings.Join(addresses, ", ") + "]"
}

func (d *Daemon) settings() string {
	return fmt.Sprintf(`name: %s
data-centre: %s
listen:
  callers: %s
  peers: %s
  control: %s
  operators: %s
  ready: %s
platform:
  address: http://%s
seeds: %s
first-start: true
%s`, d.Name, d.DataCentre, d.CallersAddress(), d.PeersAddress(), d.ControlAddress(), d.OperatorsAddress(), d.ReadyAddress(), d.fleet.PlatformAddress(), d.seeds(), d.fleet.Spec.Settings)
}

func (f *Fleet) startDaemon(d *Daemon) error {
	file := filepath.Join(f.Spec.Programs.Dir, fmt.Sprintf("%d-%d-%s.yaml", f.net.a, f.net.b, d.Name))
	if err := os.WriteFile(file, []byte(d.settings()), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return d.start(f, processSpec{name: d.Name, program: "tideliftd", descriptors: f.Spec.Descriptors}, "--settings", file)
}

// Restart starts the daemon again after it has ended, without its earlier state, and
// waits until it is ready.
func (d *Daemon) Restart(ctx context.Context) error {
	if err := d.fleet.startDaemon(d); err != nil {
		return err
	}
	return d.waitFor(ctx, func(s *operatorapi.Status) bool { return s.Ready })
}

func (d *Daemon) waitFor(ctx context.Context, done func(*operatorapi.Status) bool) error {
	client := d.Client()
	for {
		status, err := client.Status(ctx)
		if err == nil && done(status) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("daemon %s: %v, last status %+v, last error %v", d.Name, ctx.Err(), status, err)
		case <-time.After(pollInterval):
		}
	}
}
