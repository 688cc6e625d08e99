package hop

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
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
	setMicros(h, HeaderTarget, c.Target)
	setMicros(h, HeaderPatience, c.Patience)
	setMicros(h, HeaderAim, c.Aim)
	setText(h, HeaderCustomer, c.Customer)
	setText(h, HeaderTicket, c.Ticket)
	setText(h, HeaderOrigin, c.Origin)
	setText(h, HeaderHost, c.Host)
	setText(h, HeaderReference, c.Reference)
	setFlag(h, HeaderOnce, c.Once)
	setFlag(h, HeaderWantTicket, c.WantTicket)
	setFlag(h, HeaderNoWait, c.NoWait)
	setFlag(h, HeaderProven, c.Proven)
	setFlag(h, HeaderInsist, c.Insist)
	if c.Priority != 0 {
		h[HeaderPriority] = []string{strconv.Itoa(c.Priority)}
	}
}

// setText writes a header unless the text is empty.
func setText(h http.Header, name, text string) {
	if text != "" {
		h[name] = []string{text}
	}
}

// setFlag writes a header if the flag is set.
func setFlag(h http.Header, name string, flag bool) {
	if flag {
		h[name] = []string{"1"}
	}
}

// setMicros writes a header in microseconds if any time is left.
func setMicros(h http.Header, name string, left time.Duration) {
	if left > 0 {
		h[name] = []string{strconv.FormatInt(left.Microseconds(), 10)}
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
	if err := call.decodeNumbers(h); err != nil {
		return Call{}, err
	}
	if call.BackendServer == "" {
		return Call{}, errors.New(HeaderBackendServer + " is missing")
	}
	return call, nil
}

// decodeNumbers reads the headers that hold numbers. Only the time left must be there.
func (c *Call) decodeNumbers(h http.Header) error {
	if text := h.Get(HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil {
			return errors.Wrap(err, "read "+HeaderPriority)
		}
		c.Priority = priority
	}
	left, err := strconv.ParseInt(h.Get(HeaderTimeLeft), 10, 64)
	if err != nil {
		return errors.Wrap(err, "read "+HeaderTimeLeft)
	}
	c.TimeLeft = time.Duration(left) * time.Microsecond
	if c.Aim, err = decodeMicros(h, HeaderAim); err != nil {
		return err
	}
	if c.Target, err = decodeMicros(h, HeaderTarget); err != nil {
		return err
	}
	c.Patience, err = decodeMicros(h, HeaderPatience)
	return err
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
