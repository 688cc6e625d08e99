package member

import (
	"net/netip"

	"github.com/go-faster/errors"
)

const (
	// maxNumber bounds the incarnation and the version. A host that starts each second takes 30,000 years to reach it, so that
	// a higher one comes from another writer, and the daemon of the host could not exceed it for ever.
	maxNumber = 1 << 40
	// maxText bounds each name and identifier, in bytes.
	maxText = 256
	// maxServers bounds the backend servers of a host that serve or have left.
	maxServers = 1024
	// maxSlots bounds the slots of a backend server.
	maxSlots = 10_000
)

// Check returns the first problem of a record that comes from another daemon or the store, or nil. Another writer may have
// left it there, and a daemon that takes it passes it on.
func (h Host) Check() error {
	for _, text := range []string{h.Name, h.DataCentre, h.Start} {
		if err := CheckName(text); err != nil {
			return errors.Wrap(err, "read host")
		}
	}
	for _, address := range []string{h.Peers, h.Control} {
		if err := checkAddress(address); err != nil {
			return errors.Wrap(err, "read address of host")
		}
	}
	for _, number := range []int64{h.Incarnation, h.Version} {
		if number < 1 || number > maxNumber {
			return errors.Errorf("incarnation %d, version %d; want 1 to %d", h.Incarnation, h.Version, int64(maxNumber))
		}
	}
	if len(h.Servers) > maxServers || len(h.Left) > maxServers {
		return errors.Errorf("%d backend servers, %d that have left; want at most %d", len(h.Servers), len(h.Left), maxServers)
	}
	return h.checkServers()
}

// checkServers returns the first problem of the host's backend servers, or nil.
func (h Host) checkServers() error {
	for _, s := range h.Servers {
		if err := s.Check(); err != nil {
			return err
		}
	}
	for _, name := range h.Left {
		if err := CheckName(name); err != nil {
			return errors.Wrap(err, "read backend server that has left")
		}
	}
	return nil
}

// Check returns the first problem of a backend server, or nil. A host must not register one with a problem, since other
// daemons would refuse the host's record.
func (s Server) Check() error {
	for _, text := range []string{s.Name, s.Service} {
		if err := CheckName(text); err != nil {
			return errors.Wrap(err, "read backend server")
		}
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		return errors.Errorf("backend server has %d slots; want 1 to %d", s.Slots, maxSlots)
	}
	if err := checkAddress(s.Address); err != nil {
		return errors.Wrap(err, "read address of backend server")
	}
	return nil
}

// CheckName returns the problem of a name of a host, a data centre, a service or a backend server, or nil.
func CheckName(text string) error {
	if text == "" || len(text) > maxText {
		return errors.Errorf("a name has %d bytes; want 1 to %d", len(text), maxText)
	}
	return nil
}

func checkAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err == nil && address.Port() == 0 {
		return errors.New("port is 0")
	}
	return err
}
