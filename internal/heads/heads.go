// Package heads checks the heads of answers, and the words that heads of requests and answers consist of.
//
// net/http reads heads leniently: it accepts a blank in the name of a field, any number of three characters as a status, any
// version, and a length beside chunks. A backend server with gray failures may send such a head. What two readers could
// understand differently is not an answer.
//
// Lines that end with a bare LF and folded values are accepted, as net/http accepts them.
//
// # Usage
//
//	response, err := http.ReadResponse(reader, request)
//	...
//	err = heads.CheckAnswer(raw)       // what was read, with the empty line at its end
//	err = heads.CheckResponse(response) // where only the decoded response is there
//
// The package has no state.
package heads

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// The range of valid statuses, and how many digits each has.
const (
	minStatus    = 100
	maxStatus    = 599
	statusDigits = 3
)

// maxQuoted bounds what an error quotes of a head, in bytes.
const maxQuoted = 80

// ErrInvalid means that a head is not that of an answer.
var ErrInvalid = errors.New("invalid head of an answer")

// CheckAnswer returns an error if the text is not the head of one answer, with the empty line at its end.
func CheckAnswer(text []byte) error {
	line, rest := cutLine(text)
	version, err := checkStatusLine(line)
	if err != nil {
		return err
	}
	var f framing
	for first := true; ; first = false {
		line, rest = cutLine(rest)
		switch {
		case len(line) == 0:
			return f.check(version)
		case line[0] == ' ' || line[0] == '\t':
			if first || !IsValue(line) {
				return invalid("line", line)
			}
			f.folded()
		default:
			if err := f.checkField(line); err != nil {
				return err
			}
		}
	}
}

// cutLine returns the first line without its end, and what follows.
func cutLine(text []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(text, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// checkStatusLine returns the version of a status line.
func checkStatusLine(line []byte) (version string, err error) {
	first, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	version = string(first)
	known := version == "HTTP/1.1" || version == "HTTP/1.0"
	if !known || len(code) != statusDigits || !isDigits(code) || !IsValue(reason) {
		return "", invalid("status line", line)
	}
	status, err := strconv.Atoi(string(code))
	if err != nil {
		return "", invalid("status line", line)
	}
	return version, checkStatus(status)
}

func checkStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return errors.Wrapf(ErrInvalid, "status %d", status)
	}
	return nil
}

// framing collects what the fields of a head say about the end of the answer.
type framing struct {
	length  string // of the first Content-Length
	lengths int
	chunked int  // values of Transfer-Encoding
	bad     bool // a value that is neither a length nor chunked
	last    bool // the last field says something about the end
}

// checkField checks a line with a name and a value.
func (f *framing) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !IsToken(name) || !IsValue(value) {
		return invalid("field", line)
	}
	text := string(bytes.Trim(value, " \t"))
	f.last = true
	switch {
	case IsNamed(name, "Content-Length"):
		f.bad = f.bad || !isDigits([]byte(text)) || f.lengths > 0 && text != f.length
		f.length = text
		f.lengths++
	case IsNamed(name, "Transfer-Encoding"):
		f.bad = f.bad || !strings.EqualFold(text, "chunked")
		f.chunked++
	default:
		f.last = false
	}
	return nil
}

// folded records that the last field continues on another line.
func (f *framing) folded() { f.bad = f.bad || f.last }

// check returns an error if the end of the answer is not certain.
func (f *framing) check(version string) error {
	switch {
	case f.bad || f.chunked > 1:
		return errors.Wrap(ErrInvalid, "length or transfer coding")
	case f.chunked > 0 && f.lengths > 0:
		return errors.Wrap(ErrInvalid, "both a length and chunks")
	case f.chunked > 0 && version != "HTTP/1.1":
		return errors.Wrapf(ErrInvalid, "chunks in %s", version)
	}
	return nil
}

// CheckResponse returns an error if a decoded response cannot be that of a valid head. It is for responses of other daemons and
// of the store, which net/http's client has read.
func CheckResponse(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return errors.Wrapf(ErrInvalid, "version %s", response.Proto)
	}
	if err := checkStatus(response.StatusCode); err != nil {
		return err
	}
	return CheckFields(response.Header)
}

// CheckFields returns an error if decoded fields have an invalid name.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if !IsToken([]byte(name)) {
			return invalid("field", []byte(name))
		}
	}
	return nil
}

func invalid(what string, text []byte) error {
	return errors.Wrapf(ErrInvalid, "%s %q", what, text[:min(len(text), maxQuoted)])
}

// IsNamed reports whether a field has that name.
func IsNamed(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

// IsToken reports whether the text is a token of RFC 9110.
func IsToken(text []byte) bool {
	for _, c := range text {
		if !IsAlphanumeric(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// IsAlphanumeric reports whether the byte is an ASCII letter or digit.
func IsAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// IsValue reports whether the text has no control characters except tabs.
func IsValue(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isDigits reports whether the text consists of digits, and at least one.
func isDigits(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(text) > 0
}
