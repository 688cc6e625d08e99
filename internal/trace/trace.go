// Package trace reconstructs the history of one request from the daemons' logs.
//
// # Usage
//
//	s := trace.New("4be1f02c77d9a310")
//	err := s.Read(file) // for the log of each host, in any order
//	err = s.Write(os.Stdout)
//
// A line is JSON, optionally with a prefix from a log collector. Lines of one host
// keep their order; lines of several hosts are merged by time, so that their order
// is only as accurate as the hosts' clocks.
//
// In addition to the request's own lines, the story contains the last state change
// of each backend server that the request met, because it explains a refusal or
// failure.
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
	// maxLine is the maximum length of a line, in bytes.
	maxLine = 1 << 20
	// stateWindow is how long a state change of a backend server remains relevant. Failures of
	// backend servers last some ten seconds at most.
	stateWindow = 30 * time.Second
)

// line holds the fields of a log line that the package uses.
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

// Timeline is the history of one request.
type Timeline struct {
	request      string
	requestLines []line
	stateChanges []line // state changes of all backend servers
}

// New returns an empty story of the request with the given id.
func New(request string) *Timeline { return &Timeline{request: request} }

// Read reads a log. It ignores lines that were not written by a daemon.
func (s *Timeline) Read(log io.Reader) error {
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

func (s *Timeline) readLine(text []byte) {
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
		s.requestLines = append(s.requestLines, l)
	case isStateChange(l.Event):
		s.stateChanges = append(s.stateChanges, l)
	}
}

func isStateChange(number int) bool {
	for _, e := range []event.Event{event.ServerSuspected, event.ServerTrusted, event.ServerEjected, event.ServerReturned, event.ServerDraining} {
		if e.Number == number {
			return true
		}
	}
	return false
}

// Write writes the story as text, ordered by time. It returns an error if no log has a line of the request.
func (s *Timeline) Write(w io.Writer) error {
	if len(s.requestLines) == 0 {
		return errors.Errorf("no log has a line of request %q: it was answered on the first attempt, or its log was not read", s.request)
	}
	byTime := func(a, b line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.requestLines, byTime)
	slices.SortStableFunc(s.stateChanges, byTime)
	start := s.requestLines[0].Time
	lines := []string{fmt.Sprintf("request %s came to %s", s.request, s.receivedBy())}
	for _, l := range s.requestLines {
		lines = append(lines, fmt.Sprintf("%8s  %s", offset(l.Time.Sub(start)), l.describe()))
		if state, ok := s.stateAt(l.BackendServer, l.Time); ok {
			lines = append(lines, fmt.Sprintf("%8s    %s: %s", "", state.BackendServer, state.describeState(l.Time)))
		}
	}
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}

// receivedBy returns the daemon that received the request from its caller. Other daemons only log that a backend
// server ended while it ran the request.
func (s *Timeline) receivedBy() string {
	for _, l := range s.requestLines {
		if l.Event != event.ServerEnded.Number {
			return l.Daemon
		}
	}
	return s.requestLines[0].Daemon
}

// stateAt returns the last state change of the backend server up to the given time and within stateWindow.
func (s *Timeline) stateAt(backendServer string, at time.Time) (line, bool) {
	for _, l := range slices.Backward(s.stateChanges) {
		if l.BackendServer == backendServer && !l.Time.After(at) && at.Sub(l.Time) < stateWindow {
			return l, true
		}
	}
	return line{}, false
}

// describe returns the text for one of the request's own lines.
func (l line) describe() string {
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

// describeState returns the text for a state change that preceded a line of the request.
func (l line) describeState(at time.Time) string {
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
