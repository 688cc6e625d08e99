// Package hop defines the protocol between the daemon that receives a caller's request (the
// ingress) and the daemon of the backend server that runs it (the sidecar).
//
// A hop is an HTTP/1.1 request with additional headers, all of which start with Tidelift-; one of
// them carries the encoded Call. They are removed before a request reaches a backend server and
// before an answer reaches a caller, and neither can set its own.
//
// # Usage
//
//	call := hop.Call{BackendServer: "csepel/lookup-1", TimeLeft: 800 * time.Millisecond}
//	err := call.Encode(request.Header)
//	...
//	call, err := hop.Decode(request.Header)
//
// Units: durations and the wait for a slot are in microseconds on the wire, retry delays in
// milliseconds; a load of 1 means that every slot is taken.
//
// Call is in call.go and its encoding in encode.go, sending a request to an address in trip.go,
// forwarding requests and answers in forward.go, and buffering short answers in hold.go.
package hop

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Prefix is the prefix of the names of a hop's headers.
const Prefix = "Tidelift-"

// Headers of a hop.
const (
	// HeaderCall carries a Call.
	HeaderCall = "Tidelift-Call"
	// HeaderReservation carries the ID of a granted reservation.
	HeaderReservation = "Tidelift-Reservation"
	// HeaderServed carries the load of the backend server and the wait for a slot.
	HeaderServed = "Tidelift-Served"
	// HeaderFailing carries the share of the backend server's recent requests that failed; it is
	// absent if none did.
	HeaderFailing = "Tidelift-Failing"
	// HeaderLimit carries the limit that the backend server names, in requests a second, both in a request and in
	// an answer; it is absent if there is none.
	HeaderLimit = "Tidelift-Limit"
	// HeaderRoute carries the name of the request's route, percent-encoded; it is absent if there is none.
	HeaderRoute = "Tidelift-Route"
	// HeaderDetail and HeaderRetryAfter accompany the result code of a refusal.
	HeaderDetail     = "Tidelift-Detail"
	HeaderRetryAfter = "Tidelift-Retry-After-Ms"
)

// EncodeServed sets the header with the load of the backend server and the request's wait for a
// slot.
func EncodeServed(h http.Header, load float64, waited time.Duration) {
	h[HeaderServed] = []string{strconv.FormatFloat(load, 'f', 2, 64) + " " + strconv.FormatInt(waited.Microseconds(), 10)}
}

// DecodeServed reads the header set by EncodeServed; missing values are zero.
func DecodeServed(h http.Header) (load float64, waited time.Duration) {
	first, second, _ := strings.Cut(h.Get(HeaderServed), " ")
	load, _ = strconv.ParseFloat(first, 64)
	micros, _ := strconv.ParseInt(second, 10, 64)
	return load, time.Duration(micros) * time.Microsecond
}

// minFailing is the smallest share that is sent; smaller ones would be rounded to zero.
const minFailing = 0.005

// EncodeFailing sets the header with the share of the backend server's recent requests that failed,
// from 0 to 1.
func EncodeFailing(h http.Header, share float64) {
	if share >= minFailing {
		h[HeaderFailing] = []string{strconv.FormatFloat(share, 'f', 2, 64)}
	}
}

// DecodeFailing reads the header set by EncodeFailing; it returns zero if the header is missing or
// not a share.
func DecodeFailing(h http.Header) float64 {
	share, err := strconv.ParseFloat(h.Get(HeaderFailing), 64)
	if err != nil || !(share >= 0 && share <= 1) {
		return 0
	}
	return share
}

// EncodeLimit sets the header with the limit that the backend server names, if there is one.
func EncodeLimit(h http.Header, perSecond float64) {
	if perSecond > 0 {
		h[HeaderLimit] = []string{strconv.FormatFloat(perSecond, 'g', -1, 64)}
	}
}

// DecodeLimit reads the header set by EncodeLimit; it returns zero if the header is missing or not a limit.
func DecodeLimit(h http.Header) float64 {
	perSecond, err := strconv.ParseFloat(h.Get(HeaderLimit), 64)
	if err != nil || !(perSecond > 0) || math.IsInf(perSecond, 0) {
		return 0
	}
	return perSecond
}

// EncodeRoute sets the header with the name of the route, if there is one. A path may have characters
// that a header may not.
func EncodeRoute(h http.Header, route string) {
	if route != "" {
		h[HeaderRoute] = []string{(&url.URL{Path: route}).EscapedPath()}
	}
}

// DecodeRoute reads the header set by EncodeRoute; it returns an empty name if the header is missing
// or malformed.
func DecodeRoute(h http.Header) string {
	route, err := url.PathUnescape(h.Get(HeaderRoute))
	if err != nil {
		return ""
	}
	return route
}

// SuppressDate keeps net/http from adding a Date header to an answer to another daemon, which does
// not use it.
func SuppressDate(h http.Header) { h["Date"] = nil }

// CopyEndToEnd copies the end-to-end headers: neither hop-by-hop headers, nor those listed in
// Connection, nor those of a hop. The values are shared, not copied.
func CopyEndToEnd(dst, src http.Header) {
	named := src["Connection"]
	for name, values := range src {
		if isHopByHop(name) || strings.HasPrefix(name, Prefix) {
			continue
		}
		if len(named) > 0 && isListed(named, name) {
			continue
		}
		dst[name] = values
	}
}

func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

func isListed(connection []string, name string) bool {
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}
