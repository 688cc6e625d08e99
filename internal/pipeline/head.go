package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/tideliftd/tidelift/internal/heads"
)

// headEnd ends a head.
var headEnd = []byte("\r\n\r\n")

// head is what a request's head says.
type head struct {
	// request is the decoded request; nil if the head is not strictly formed.
	request *http.Request
	// bounded reports whether the request ends length bytes after its head.
	bounded bool
	length  int64
	// neverAhead reports whether the request may not be started ahead, whatever its route.
	neverAhead bool
	// last reports whether the connection ends after the request's answer.
	last bool
}

// decode decodes a head with its end. It is stricter than net/http: what two readers could understand differently is
// unbounded.
func decode(text []byte) head {
	s, ok := scan(text)
	if !ok {
		return head{}
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(text), len(text)))
	if err != nil || r.Proto != "HTTP/1.1" || r.ContentLength != s.length || !validHost(r.Host) {
		return head{}
	}
	return head{
		request:    r,
		bounded:    true,
		length:     s.length,
		last:       r.Close,
		neverAhead: s.length > 0 || s.special || !strings.HasPrefix(r.RequestURI, "/"),
	}
}

// shape is what the lines of a head say about the request's end.
type shape struct {
	length  int64 // of the body
	special bool  // it has a header for which net/http does more than to pass it on
}

// scan reports whether the head is strictly formed and says where the request ends: a request line of three words, and
// header lines with a token, a colon and a value without control characters, all ended by CR LF, with one host and at most
// one length. It is called for every request, and allocates nothing.
func scan(text []byte) (shape, bool) {
	lines, ok := bytes.CutSuffix(text, headEnd)
	if !ok {
		return shape{}, false
	}
	line, rest, more := bytes.Cut(lines, headEnd[:2])
	if !isRequestLine(line) {
		return shape{}, false
	}
	var s shape
	hosts, lengths := 0, 0
	for more {
		line, rest, more = bytes.Cut(rest, headEnd[:2])
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !heads.IsToken(name) || !heads.IsValue(value) {
			return shape{}, false
		}
		switch {
		case heads.IsNamed(name, "Host"):
			hosts++
		case heads.IsNamed(name, "Transfer-Encoding"):
			return shape{}, false
		case heads.IsNamed(name, "Content-Length"):
			lengths++
			if s.length, ok = parseLength(value); !ok {
				return shape{}, false
			}
		case heads.IsNamed(name, "Expect"), heads.IsNamed(name, "Upgrade"), heads.IsNamed(name, "Trailer"):
			s.special = true
		}
	}
	return s, hosts == 1 && lengths <= 1
}

// parseLength reads a length that consists of digits only.
func parseLength(value []byte) (int64, bool) {
	digits := string(bytes.Trim(value, " \t"))
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	length, err := strconv.ParseInt(digits, 10, 64)
	return length, err == nil
}

// isRequestLine reports whether the line consists of a method, a target and HTTP/1.1. The request of another version, or
// with CONNECT, may not end with its head.
func isRequestLine(line []byte) bool {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !heads.IsToken(method) || string(method) == http.MethodConnect || string(version) != "HTTP/1.1" {
		return false
	}
	for _, c := range target {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(target) > 0
}

// validHost reports whether the text can be a host name or address with a port.
func validHost(host string) bool {
	for _, c := range []byte(host) {
		if !heads.IsAlphanumeric(c) && strings.IndexByte("-._:[]", c) < 0 {
			return false
		}
	}
	return host != ""
}
