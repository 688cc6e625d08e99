// Package trace puts together what the daemons' logs say of one request.
//
// # Usage
//
//	s := trace.New("4be1f02c77d9a310")
//	err := s.Read(file) // for the log of each host, in any order
//	err = s.Write(os.Stdout)
//
// A line is JSON, with or without something before it, as log collectors put it
// there. Lines of one host keep their order; those of several are put together by
// their times, which may differ between hosts by as much as their clocks do.
//
// Besides the request's own lines the story holds the last change of state of each
// backend server that the request met, since that is why it was refused or failed.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/result"
)

const (
	// maxLine is the longest line that is read, in bytes.
	maxLine = 1 << 20
	// before is how far back a change of a backend server's state counts. Source:
	// the longest time that a backend server fails for is some ten seconds.
	before = 30 * time.Second
)

// line is what is read of a log line.
type line struct {
	Time          time.Time `json:"time"`
	Event         int       `json:"event"`
	Message       string    `json:"msg"`
	Daemon        string    `json:"daemon"`
	Request       string    `json:"request"`
	BackendServer string    `json:"backend_server"`
	Service       string    `json:"service"`
	Code          int       `json:"code"`
	Result        string    `json:"result"`
	Why           string    `json:"why"`
	Outcome       string    `json:"outcome"`
	Cause         string    `json:"cause"`
	PassedOver    string    `json:"passed_over"`
	Again         bool      `json:"again"`
	NonIdempotent bool      `json:"once"`
	Insist        bool      `json:"insist"`
	TookMs        int64     `json:"took_ms"`
}

// Story is what is known of one request.
type Story struct {
	request string
	own     []line
	states  []line // changes of backend servers' states, of every one
}

// New returns an empty story of the request of that id.
func New(request string) *Story { return &Story{request: request} }

// Read reads a log. Lines that are not a daemon's are passed over.
func (s *Story) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		s.readLine(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read log")
	}
	return nil
}

func (s *Story) readLine(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var l line
	if json.Unmarshal(text[start:], &l) != nil || l.Event == 0 {
		return
	}
	switch {
	case l.Request == s.request:
		s.own = append(s.own, l)
	case isState(l.Event):
		s.states = append(s.states, l)
	}
}

func isState(number int) bool {
	for _, e := range []event.Event{event.ServerSuspected, event.ServerTrusted, event.ServerEjected, event.ServerReturned, event.ServerDraining} {
		if e.Number == number {
			return true
		}
	}
	return false
}

// Write writes the story in words, in the order of time. It is an error if no log has a line of it.
func (s *Story) Write(w io.Writer) error {
	if len(s.own) == 0 {
		return errors.Errorf("no log has a line of request %q: it was answered at once, or it is in a log that was not read", s.request)
	}
	byTime := func(a, b line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.own, byTime)
	slices.SortStableFunc(s.states, byTime)
	began := s.own[0].Time
	lines := []string{fmt.Sprintf("request %s came to %s", s.request, s.cameTo())}
	for _, l := range s.own {
		lines = append(lines, fmt.Sprintf("%8s  %s", offset(l.Time.Sub(began)), l.words()))
		if state, ok := s.stateAt(l.BackendServer, l.Time); ok {
			lines = append(lines, fmt.Sprintf("%8s    %s: %s", "", state.BackendServer, state.stateWords(l.Time)))
		}
	}
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}

// cameTo returns the daemon that took the request from its caller. The others only say that a backend server
// ended under it.
func (s *Story) cameTo() string {
	for _, l := range s.own {
		if l.Event != event.ServerEnded.Number {
			return l.Daemon
		}
	}
	return s.own[0].Daemon
}

// stateAt returns the last change of the backend server's state before then.
func (s *Story) stateAt(backendServer string, at time.Time) (line, bool) {
	for _, l := range slices.Backward(s.states) {
		if l.BackendServer == backendServer && !l.Time.After(at) && at.Sub(l.Time) < before {
			return l, true
		}
	}
	return line{}, false
}

// words returns one line of the request's own in words.
func (l line) words() string {
	code, _ := result.ByNumber(l.Code)
	if l.Event == event.RequestFailed.Number {
		return fmt.Sprintf("answered with %d %s after %d ms: %s", code.Status, l.Result, l.TookMs, code.Meaning)
	}
	if l.Event == event.ServerEnded.Number {
		return fmt.Sprintf("%s of %s ended while it ran the request, for %d ms so far: its address refuses connections", l.BackendServer, l.Service, l.TookMs)
	}
	text := fmt.Sprintf("%s of %s: %s. %s", l.BackendServer, l.Service, l.Result, code.Meaning)
	if l.PassedOver != "" {
		text += " Passed over before: " + l.PassedOver + "."
	}
	if l.Insist {
		text += " It was sent there although it was suspected, since nobody else was left."
	}
	switch {
	case l.Again:
		return text + " Tried elsewhere."
	case l.NonIdempotent && code.Ran == result.RanUnknown:
		return text + " Not tried again: it may have run and must not run twice."
	default:
		return text + " Not tried again."
	}
}

// stateWords returns a change of state that came before in words.
func (l line) stateWords(at time.Time) string {
	text := fmt.Sprintf("%s %s earlier", l.Message, offset(at.Sub(l.Time)))
	for _, why := range []string{l.Outcome, l.Cause, l.Why} {
		if why != "" {
			return text + " (" + why + "), as " + l.Daemon + " says"
		}
	}
	return text + ", as " + l.Daemon + " says"
}

func offset(d time.Duration) string {
	return fmt.Sprintf("%.3fs", d.Seconds())
}
