// Package hop defines what travels between the daemon that takes a caller's
// request (the ingress) and the daemon of the backend server that runs it (the
// sidecar).
//
// A hop is an HTTP/1.1 request with headers of its own, all of which start
// with Tidelift-. They are taken off before a request reaches a backend server
// and before an answer reaches a caller, and neither can bring its own.
//
// # Usage
//
//	call := hop.Call{BackendServer: "csepel/lookup-1", TimeLeft: 800 * time.Millisecond}
//	call.Encode(request.Header)
//	...
//	call, err := hop.Decode(request.Header)
//
// Units: the time left is in microseconds on the wire; a load of 1 means that
// every slot is taken.
package hop

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Prefix starts the name of each header of a hop.
const Prefix = "Tidelift-"

// The headers of a hop.
const (
	HeaderBackendServer = "Tidelift-Backend-Server"
	HeaderTimeLeft      = "Tidelift-Time-Left-Us"
	HeaderAim           = "Tidelift-Aim-Us"
	HeaderTarget        = "Tidelift-Target-Us"
	HeaderPatience      = "Tidelift-Patience-Us"
	HeaderCustomer      = "Tidelift-Customer"
	HeaderOnce          = "Tidelift-Once"
	HeaderTicket        = "Tidelift-Ticket"
	HeaderWantTicket    = "Tidelift-Want-Ticket"
	HeaderReference     = "Tidelift-Reference"
	HeaderOrigin        = "Tidelift-Origin"
	HeaderPriority      = "Tidelift-Priority"
	HeaderInsist        = "Tidelift-Insist"
	HeaderNoWait        = "Tidelift-No-Wait"
	HeaderProven        = "Tidelift-Proven"
	HeaderHost          = "Tidelift-Host"
	HeaderLoad          = "Tidelift-Load"
	HeaderWaited        = "Tidelift-Waited-Us"
	HeaderDetail        = "Tidelift-Detail"
	HeaderRetryAfter    = "Tidelift-Retry-After-Ms"
)

// Call says what the ingress asks of a sidecar beside the caller's request.
type Call struct {
	// BackendServer is the one to run the request.
	BackendServer string
	// TimeLeft is what the caller's deadline leaves.
	TimeLeft time.Duration
	// Aim is what is left of the time in which an answer is worth most; zero or
	// less if that is over.
	Aim time.Duration
	// Target is the time within which the route's answers are worth most; zero if it
	// is not known.
	Target time.Duration
	// Patience is how long it may wait in a crowded queue; zero or less if it may
	// not.
	Patience time.Duration
	// Customer is who the request is for; it may be empty.
	Customer string
	// Once says that the request must not run more than once.
	Once bool
	// WantTicket asks for a ticket in place of running anything.
	WantTicket bool
	// Ticket is the sidecar's leave to run the request; it may be empty.
	Ticket string
	// Origin is the service of the host where the request began; it may be
	// empty.
	Origin string
	// Priority is the request's rank in a queue; 0 is served first.
	Priority int
	// Insist says that nobody else takes the request, so that doubt is no reason
	// to refuse it.
	Insist bool
	// NoWait asks for a refusal in place of a wait for a slot.
	NoWait bool
	// Proven asks for a refusal if the backend server has not shown for a while
	// that it is well.
	Proven bool
	// Host is the ingress's host.
	Host string
	// Reference is how the service's other backend servers do, as
	// detect.Reference encodes it; it may be empty.
	Reference string
}

// Encode writes the call's headers.
func (c Call) Encode(h http.Header) {
	h[HeaderBackendServer] = []string{c.BackendServer}
	h[HeaderTimeLeft] = []string{strconv.FormatInt(c.TimeLeft.Microseconds(), 10)}
	if c.Target > 0 {
		h[HeaderTarget] = []string{strconv.FormatInt(c.Target.Microseconds(), 10)}
	}
	if c.Patience > 0 {
		h[HeaderPatience] = []string{strconv.FormatInt(c.Patience.Microseconds(), 10)}
	}
	if c.Aim > 0 {
		h[HeaderAim] = []string{strconv.FormatInt(c.Aim.Microseconds(), 10)}
	}
	if c.Customer != "" {
		h[HeaderCustomer] = []string{c.Customer}
	}
	if c.Once {
		h[HeaderOnce] = []string{"1"}
	}
	if c.WantTicket {
		h[HeaderWantTicket] = []string{"1"}
	}
	if c.Ticket != "" {
		h[HeaderTicket] = []string{c.Ticket}
	}
	if c.Origin != "" {
		h[HeaderOrigin] = []string{c.Origin}
	}
	if c.NoWait {
		h[HeaderNoWait] = []string{"1"}
	}
	if c.Proven {
		h[HeaderProven] = []string{"1"}
	}
	if c.Host != "" {
		h[HeaderHost] = []string{c.Host}
	}
	if c.Insist {
		h[HeaderInsist] = []string{"1"}
	}
	if c.Priority != 0 {
		h[HeaderPriority] = []string{strconv.Itoa(c.Priority)}
	}
	if c.Reference != "" {
		h[HeaderReference] = []string{c.Reference}
	}
}

// Decode reads the call's headers.
func Decode(h http.Header) (Call, error) {
	call := Call{
		BackendServer: h.Get(HeaderBackendServer),
		Customer:      h.Get(HeaderCustomer),
		Once:          h.Get(HeaderOnce) != "",
		WantTicket:    h.Get(HeaderWantTicket) != "",
		Ticket:        h.Get(HeaderTicket),
		Reference:     h.Get(HeaderReference),
		Origin:        h.Get(HeaderOrigin),
		NoWait:        h.Get(HeaderNoWait) != "",
		Proven:        h.Get(HeaderProven) != "",
		Host:          h.Get(HeaderHost),
		Insist:        h.Get(HeaderInsist) != "",
	}
	if text := h.Get(HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil {
			return Call{}, errors.Wrap(err, "read "+HeaderPriority)
		}
		call.Priority = priority
	}
	left, err := strconv.ParseInt(h.Get(HeaderTimeLeft), 10, 64)
	if err != nil {
		return Call{}, errors.Wrap(err, "read "+HeaderTimeLeft)
	}
	if call.Aim, err = decodeMicros(h, HeaderAim); err != nil {
		return Call{}, err
	}
	if call.Target, err = decodeMicros(h, HeaderTarget); err != nil {
		return Call{}, err
	}
	if call.Patience, err = decodeMicros(h, HeaderPatience); err != nil {
		return Call{}, err
	}
	call.TimeLeft = time.Duration(left) * time.Microsecond
	if call.BackendServer == "" {
		return Call{}, errors.New(HeaderBackendServer + " is missing")
	}
	return call, nil
}

// decodeMicros reads a header in microseconds; one that is missing is zero.
func decodeMicros(h http.Header, name string) (time.Duration, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	micros, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read "+name)
	}
	return time.Duration(micros) * time.Microsecond, nil
}

// EncodeServed writes on an answer the load of the backend server and how long
// the request waited for a slot.
func EncodeServed(h http.Header, load float64, waited time.Duration) {
	h[HeaderLoad] = []string{strconv.FormatFloat(load, 'f', 3, 64)}
	h[HeaderWaited] = []string{strconv.FormatInt(waited.Microseconds(), 10)}
}

// DecodeServed reads what EncodeServed wrote; what is missing is zero.
func DecodeServed(h http.Header) (load float64, waited time.Duration) {
	load, _ = strconv.ParseFloat(h.Get(HeaderLoad), 64)
	micros, _ := strconv.ParseInt(h.Get(HeaderWaited), 10, 64)
	return load, time.Duration(micros) * time.Microsecond
}

// CopyEndToEnd copies the headers that travel from end to end: neither those
// of one connection, nor those that Connection names, nor those of a hop. The
// values are shared, not copied.
func CopyEndToEnd(dst, src http.Header) {
	named := src["Connection"]
	for name, values := range src {
		if isOneConnection(name) || strings.HasPrefix(name, Prefix) {
			continue
		}
		if len(named) > 0 && isNamed(named, name) {
			continue
		}
		dst[name] = values
	}
}

func isOneConnection(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

func isNamed(connection []string, name string) bool {
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}
