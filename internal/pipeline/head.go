package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
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
	// alone reports whether the request may not be started ahead, whatever its route.
	alone bool
	// last reports whether the connection ends after the request's answer.
	last bool
}

// decode decodes a head with its end. It is stricter than net/http: what two readers could understand differently is
// unbounded.
func decode(text []byte) head {
	fields, ok := checkForm(text)
	if !ok || fields["host"] != 1 || fields["transfer-encoding"] > 0 || fields["content-length"] > 1 {
		return head{}
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
	if err != nil || r.Proto != "HTTP/1.1" || r.Method == http.MethodConnect || r.ContentLength < 0 || !validHost(r.Host) {
		return head{}
	}
	h := head{
		request: r,
		bounded: true,
		length:  r.ContentLength,
		last:    r.Close,
		alone: r.ContentLength > 0 || fields["expect"] > 0 || fields["upgrade"] > 0 || fields["trailer"] > 0 ||
			!strings.HasPrefix(r.RequestURI, "/"),
	}
	return h
}

// checkForm reports whether the head is strictly formed: a request line of three words, and header lines with a token, a
// colon and a value without control characters, all ended by CR LF. It returns how often each header occurs.
func checkForm(text []byte) (map[string]int, bool) {
	lines, ok := bytes.CutSuffix(text, headEnd)
	if !ok {
		return nil, false
	}
	fields := make(map[string]int)
	for number, line := range strings.Split(string(lines), "\r\n") {
		if number == 0 {
			if !isRequestLine(line) {
				return nil, false
			}
			continue
		}
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) || !isValue(value) {
			return nil, false
		}
		fields[strings.ToLower(name)]++
	}
	return fields, true
}

func isRequestLine(line string) bool {
	words := strings.Split(line, " ")
	if len(words) != 3 || !isToken(words[0]) || words[1] == "" {
		return false
	}
	return !strings.ContainsFunc(line, func(c rune) bool { return c < ' ' || c > '~' })
}

// isToken reports whether the text is a token of RFC 9110.
func isToken(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(c rune) bool { return !isTokenRune(c) })
}

func isTokenRune(c rune) bool {
	return isAlphanumeric(c) || strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

func isAlphanumeric(c rune) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// isValue reports whether the text has no control characters except tabs.
func isValue(text string) bool {
	for _, c := range []byte(text) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// validHost reports whether the text can be a host name or address with a port.
func validHost(host string) bool {
	return host != "" && !strings.ContainsFunc(host, func(c rune) bool {
		return !isAlphanumeric(c) && !strings.ContainsRune("-._:[]", c)
	})
}
