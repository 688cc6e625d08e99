package harness

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/test/backendserver"
)

// Backend is one backend server.
type Backend struct {
	process
	Name    string
	Service Service
	Host    *Daemon

	fleet  *Fleet
	number int // in the fleet
	place  int // in the service
}

// Work returns the IP:port where it takes requests, past any proxy.
func (b *Backend) Work() string {
	if b.Service.Addresses != nil {
		return b.Service.Addresses[b.place]
	}
	return b.fleet.net.address(b.Host.number, portWork+b.number)
}

func (b *Backend) workProxy() string {
	return b.fleet.net.address(b.Host.number, portWorkProxy+b.number)
}

func (b *Backend) mode() string { return b.fleet.net.address(b.Host.number, portMode+b.number) }

// declared returns the address that the declaration gives.
func (b *Backend) declared() string {
	if b.fleet.Spec.Proxied {
		return b.workProxy()
	}
	return b.Work()
}

func (f *Fleet) startBackends() error {
	for _, b := range f.Backends {
		if b.Service.Addresses != nil {
			continue
		}
		if err := b.Start(); err != nil {
			return err
		}
		f.atEnd(b.Kill)
	}
	return nil
}

// Start starts the backend server, also again after it has ended, and waits
// until it takes connections.
func (b *Backend) Start() error {
	err := b.start(b.fleet, b.Name, "testbackend", "-work", b.Work(), "-control", b.mode())
	if err != nil {
		return err
	}
	return WaitListening(b.Work())
}

// SetMode makes the backend server behave so.
func (b *Backend) SetMode(mode backendserver.Mode) error {
	data, err := json.Marshal(mode)
	if err != nil {
		return errors.Wrap(err, "encode mode")
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+b.mode()+"/mode", bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "set mode of %s", b.Name)
	}
	return response.Body.Close()
}

// Ledger returns what the backend server has run since its start.
func (b *Backend) Ledger() (backendserver.Ledger, error) {
	var ledger backendserver.Ledger
	response, err := http.Get("http://" + b.mode() + "/ledger")
	if err != nil {
		return ledger, errors.Wrapf(err, "read ledger of %s", b.Name)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&ledger); err != nil {
		return ledger, errors.Wrap(err, "decode ledger")
	}
	return ledger, nil
}
