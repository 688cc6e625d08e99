// Package hop defines what travels between the daemon that takes a caller's
// request (the ingress) and the daemon of the backend server that runs it (the
// sidecar).
//
// A hop is an HTTP/1.1 request with headers of its own, all of which start
// with Tidelift-; what the ingress asks is packed into one of them. They are taken off
// before a request reaches a backend server and before an answer reaches a caller, and
// neither can bring its own.
//
// # Usage
//
//	call := hop.Call{BackendServer: "csepel/lookup-1", TimeLeft: 800 * time.Millisecond}
//	err := call.Encode(request.Header)
//	...
//	call, err := hop.Decode(request.Header)
//
// Units: times and the wait for a slot are in microseconds on the wire, when to come back
// in milliseconds; a load of 1 means that every slot is taken.
//
// What the ingress asks is in call.go and how that is written in encode.go, one sending
// to an address in trip.go, what both daemons do with requests and answers on the way in forward.go, and the reading
// of short answers before they are passed on in hold.go.
package hop

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Prefix starts the name of each header of a hop.
const Prefix = "Tidelift-"

// The headers of a hop.
const (
	// HeaderCall carries a Call.
	HeaderCall = "Tidelift-Call"
	// HeaderReservation answers a call that wants a reservation.
	HeaderReservation = "Tidelift-Reservation"
	// HeaderServed carries the load of the backend server and the wait for a slot.
	HeaderServed = "Tidelift-Served"
	// HeaderFailing carries the share of the backend server's recent requests that failed; without it none did.
	HeaderFailing = "Tidelift-Failing"
	// HeaderDetail and HeaderRetryAfter go with a refusal, beside its code.
	HeaderDetail     = "Tidelift-Detail"
	HeaderRetryAfter = "Tidelift-Retry-After-Ms"
)

// EncodeServed writes on an answer the load of the backend server and how long
// the request waited for a slot.
func EncodeServed(h http.Header, load float64, waited time.Duration) {
	h[HeaderServed] = []string{strconv.FormatFloat(load, 'f', 2, 64) + " " + strconv.FormatInt(waited.Microseconds(), 10)}
}

// DecodeServed reads what EncodeServed wrote; what is missing is zero.
func DecodeServed(h http.Header) (load float64, waited time.Duration) {
	first, second, _ := strings.Cut(h.Get(HeaderServed), " ")
	load, _ = strconv.ParseFloat(first, 64)
	micros, _ := strconv.ParseInt(second, 10, 64)
	return load, time.Duration(micros) * time.Microsecond
}

// leastFailing is the least share that is told, as it is written with two decimals.
const leastFailing = 0.005

// EncodeFailing writes on an answer the share of the backend server's recent requests that failed, from 0 to 1.
func EncodeFailing(h http.Header, share float64) {
	if share >= leastFailing {
		h[HeaderFailing] = []string{strconv.FormatFloat(share, 'f', 2, 64)}
	}
}

// DecodeFailing reads what EncodeFailing wrote; what is missing or is no share is zero.
func DecodeFailing(h http.Header) float64 {
	share, err := strconv.ParseFloat(h.Get(HeaderFailing), 64)
	if err != nil || !(share >= 0 && share <= 1) {
		return 0
	}
	return share
}

// SuppressDate keeps net/http from writing the date of this daemon on an answer to another
// daemon, which does not look at it.
func SuppressDate(h http.Header) { h["Date"] = nil }

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
