// Package serverlimit decides which limit on its requests a backend server has in force, from what it says in its
// answers.
//
// A Limit belongs to one backend server and is owned by its sidecar's task. It has no clock, goroutine or socket.
//
// # Usage
//
//	perSecond, err := serverlimit.Parse("2.5")
//	l.Record(now, serverlimit.Statement{SentAt: sentAt, Named: true, PerSecond: perSecond})
//	rate := l.PerSecond() // zero without a limit
//
// # Rules
//
//   - The last answer that names a limit replaces the one before.
//   - A limit ends with an answer that names none, to a request that was sent after the last answer that named one:
//     the answers of requests that ran at the same time may overtake each other.
//   - After a start, until the first answer, the limit that another daemon knows counts.
//   - A limit of less than MinPerSecond counts as that much, since only an answer can raise it again.
//
// Units: requests a second.
package serverlimit

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// MinPerSecond is the lowest rate of requests to a backend server that names a limit.
const MinPerSecond = 0.2

// Statement is what one answer says.
type Statement struct {
	// SentAt is when its request was sent.
	SentAt time.Time
	// Named reports whether it names a limit, PerSecond is that limit.
	Named     bool
	PerSecond float64
}

// Limit is the limit of one backend server. The zero value is none.
type Limit struct {
	answered  bool // an answer has been recorded
	named     bool
	perSecond float64
	namedAt   time.Time
}

// Parse reads a limit: a decimal number, zero or more.
func Parse(text string) (float64, error) {
	text = strings.TrimSpace(text)
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "read limit %q", text)
	}
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 || strings.ContainsAny(text, "xX_") {
		return 0, errors.Errorf("limit %q is not a decimal number of zero or more", text)
	}
	return perSecond, nil
}

// Record records an answer that arrives now.
func (l *Limit) Record(now time.Time, s Statement) {
	l.answered = true
	switch {
	case s.Named:
		l.named, l.perSecond, l.namedAt = true, s.PerSecond, now
	case l.named && s.SentAt.After(l.namedAt):
		l.named = false
	}
}

// Adopt takes over the limit that another daemon knows, unless an answer has been recorded.
func (l *Limit) Adopt(now time.Time, perSecond float64) {
	if l.answered || perSecond <= 0 {
		return
	}
	l.named, l.perSecond, l.namedAt = true, perSecond, now
}

// PerSecond returns the rate of requests that the limit allows, or zero if there is no limit.
func (l *Limit) PerSecond() float64 {
	if !l.named {
		return 0
	}
	return math.Max(l.perSecond, MinPerSecond)
}
