package harness

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/test/backendserver"
)

// Backend is a backend server process, or the address of one that the test runs itself.
type Backend struct {
	process
	Name    string
	Service Service
	Host    *Daemon

	fleet        *Fleet
	number       int // index in the fleet
	serviceIndex int // index in the service
}

// Address returns the IP:port at which the backend server itself receives requests, behind any proxy.
func (b *Backend) Address() string {
	if b.Service.Addresses != nil {
		return b.Service.Addresses[b.serviceIndex]
	}
	return b.fleet.net.address(b.Host.number, portBackend+b.number)
}

func (b *Backend) proxyAddress() string {
	return b.fleet.net.address(b.Host.number, portBackendProxy+b.number)
}

// mode returns the IP:port at which the backend server's mode is set and its ledger is read.
func (b *Backend) mode() string { return b.fleet.net.address(b.Host.number, portMode+b.number) }

// declaredAddress returns the address to use in the declaration, which is the proxy's if there is one.
func (b *Backend) declaredAddress() string {
	if b.fleet.Spec.Proxied {
		return b.proxyAddress()
	}
	return b.Address()
}

func (f *Fleet) startBackends() error {
	for _, b := range f.Backends {
		if b.Service.Addresses != nil {
			continue
		}
		if err := b.Start(); err != nil {
			return err
		}
		f.onCleanUp(b.Kill)
	}
	return nil
}

// Start starts the backend server, or restarts it after it has ended, and waits
// until it accepts connections.
func (b *Backend) Start() error {
	err := b.start(b.fleet, processSpec{name: b.Name, program: "testbackend"}, "-work", b.Address(), "-control", b.mode())
	if err != nil {
		return err
	}
	return WaitListening(b.Address())
}

// SetMode sets the behaviour of the backend server.
func (b *Backend) SetMode(mode backendserver.Mode) error {
	data, err := json.Marshal(mode)
	if err != nil {
		return errors.Wrap(err, "encode mode")
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+b.mode()+"/mode", bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "set mode of %s", b.Name)
	}
	return response.Body.Close()
}

// Ledger returns the runs of the backend server since its start.
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
