package pipeline

import (
	"bytes"
	"net/http"

	"github.com/tideliftd/tidelift/internal/guard"
)

// maxStartedHead is the size of the largest head that is started ahead, in bytes. Larger ones may exceed the server's
// limit, which is at least 36 KiB, so that net/http refuses them.
const maxStartedHead = 32 << 10

// phase says what net/http reads next of a connection.
type phase string

const (
	// phaseHead means that it reads a request's head.
	phaseHead phase = "head"
	// phaseBody means that it reads a body of known length.
	phaseBody phase = "body"
	// phaseEnd means that it has read the whole request.
	phaseEnd phase = "end"
	// phaseUnbounded means that the ends of requests are not known any more.
	phaseUnbounded phase = "unbounded"
)

// eligibility says whether requests behind the current one may be started.
type eligibility string

const (
	// eligibilityUnknown means that it has not been decided: it is only needed once there is a request behind.
	eligibilityUnknown eligibility = "unknown"
	// eligibilityOpen means that they may.
	eligibilityOpen eligibility = "open"
	// eligibilityClosed means that the current request is a barrier.
	eligibilityClosed eligibility = "closed"
)

// started is a request that was started ahead.
type started struct {
	position int64 // the number of requests before it on the connection
	head     []byte
	request  *http.Request
	cost     int64 // taken for it
}

// stream follows what a caller sends on a connection, request by request. It decides what net/http may read and which
// requests are started ahead. It is not safe for concurrent use.
type stream struct {
	limit    int
	mayStart func(*http.Request) bool
	account  Account
	reserved int64 // taken for what the buffer holds beyond its first piece

	buffer bytes.Buffer // read from the caller and not passed on
	phase  phase
	head   []byte // what was passed on of the current request's head
	rest   int64  // what is left of the current request's body

	// deadline reports whether reads have a deadline. net/http reads heads with one (http.Server.ReadHeaderTimeout), and
	// waits for the caller to disconnect without.
	deadline bool

	position    int64       // of the current request
	serving     bool        // a handler serves the current request
	eligibility eligibility // of the current request
	barrier     bool        // the first request that was not started may not be
	ahead       []started
	scanned     int // size of the started requests at the beginning of the buffer
}

func newStream(limit int, mayStart func(*http.Request) bool) *stream {
	return &stream{limit: limit, mayStart: mayStart, phase: phaseHead, eligibility: eligibilityUnknown}
}

// room returns how much may be added. The first piece needs no room in the account.
func (s *stream) room() int {
	room := maxBuffered - s.buffer.Len()
	missing := int64(s.buffer.Len()) - s.reserved
	if room == 0 || missing <= 0 {
		return room
	}
	if !s.account.take(missing) {
		return 0
	}
	s.reserved += missing
	return min(room, pieceSize)
}

// add adds what was read from the caller.
func (s *stream) add(piece []byte) { s.buffer.Write(piece) }

// withholds reports whether a read of that size gets nothing before the current request is answered. While a request is
// served, net/http reads a single byte to detect whether the caller has disconnected.
func (s *stream) withholds(size int) bool {
	return s.phase == phaseEnd || s.phase == phaseUnbounded && size == 1 && !s.deadline
}

// direct returns how many bytes may be read from the caller without being added, and must be passed to passOn.
func (s *stream) direct(size int) int {
	switch {
	case s.buffer.Len() > 0 || s.withholds(size):
		return 0
	case s.phase == phaseBody:
		return int(min(int64(size), s.rest))
	case s.phase == phaseUnbounded:
		return size
	default:
		return 0
	}
}

// take copies the next bytes that net/http may read, and returns their number.
func (s *stream) take(p []byte) int {
	if s.buffer.Len() == 0 || s.withholds(len(p)) {
		return 0
	}
	allowed := s.buffer.Len()
	switch s.phase {
	case phaseHead:
		if end := s.endOfHead(); end > 0 {
			allowed = end
		}
	case phaseBody:
		allowed = int(min(int64(allowed), s.rest))
	case phaseEnd, phaseUnbounded:
	}
	n := copy(p, s.buffer.Bytes()[:allowed])
	s.passOn(s.buffer.Next(n))
	s.scanned = max(0, s.scanned-n)
	if s.buffer.Len() == 0 {
		s.release()
	}
	return n
}

// release gives back what an empty buffer holds: an idle connection holds little memory.
func (s *stream) release() {
	if s.buffer.Cap() > pieceSize {
		s.buffer = bytes.Buffer{}
	}
	s.account.give(s.reserved)
	s.reserved = 0
}

// passOn records what net/http reads.
func (s *stream) passOn(piece []byte) {
	switch s.phase {
	case phaseHead:
		old := len(s.head)
		s.head = append(s.head, piece...)
		s.checkHead(old)
	case phaseBody:
		s.rest -= int64(len(piece))
		if s.rest == 0 {
			s.phase = phaseEnd
		}
	case phaseEnd, phaseUnbounded:
	}
}

// endOfHead returns how many bytes of the buffer belong to the current request's head; zero if its end is not there.
func (s *stream) endOfHead() int {
	tail := s.head[max(0, len(s.head)-len(headEnd)+1):]
	data := s.buffer.Bytes()
	border := append(bytes.Clone(tail), data[:min(len(data), len(headEnd)-1)]...)
	if at := bytes.Index(border, headEnd); at >= 0 {
		return at + len(headEnd) - len(tail)
	}
	if at := bytes.Index(data, headEnd); at >= 0 {
		return at + len(headEnd)
	}
	return 0
}

// checkHead decodes the current request's head once all of it has been passed on. The bytes before old were checked
// before.
func (s *stream) checkHead(old int) {
	if hasBareLF(s.head[max(0, old-1):]) || len(s.head) > maxBuffered {
		s.giveUp() // net/http also ends a head at an empty line with a bare LF
		return
	}
	if !bytes.HasSuffix(s.head, headEnd) {
		return
	}
	if s.isStarted() {
		s.phase = phaseEnd
		return
	}
	shape, ok := scan(s.head)
	switch {
	case !ok:
		s.giveUp()
	case shape.length > 0:
		s.phase, s.rest = phaseBody, shape.length
	default:
		s.phase = phaseEnd
	}
}

// hasBareLF reports whether a line feed, other than the first byte, does not follow a carriage return.
func hasBareLF(text []byte) bool {
	for at := 1; at < len(text); at++ {
		if text[at] == '\n' && text[at-1] != '\r' {
			return true
		}
	}
	return false
}

// isStarted reports whether the current request was started ahead.
func (s *stream) isStarted() bool {
	return len(s.ahead) > 0 && s.ahead[0].position == s.position
}

// giveUp leaves the rest of the connection to net/http.
func (s *stream) giveUp() {
	s.phase = phaseUnbounded
	s.head = nil
	s.eligibility = eligibilityClosed
}

// begin records that a handler serves the current request, and returns its position.
func (s *stream) begin() int64 {
	s.serving = true
	return s.position
}

// next returns the next request to start ahead.
func (s *stream) next() (started, bool) {
	if !s.serving || s.barrier || s.unanswered() >= s.limit {
		return started{}, false
	}
	data := s.buffer.Bytes()[s.scanned:]
	end := bytes.Index(data, headEnd)
	if end < 0 || !s.isOpen() {
		return started{}, false
	}
	text := data[:end+len(headEnd)]
	h := head{}
	if len(text) <= maxStartedHead {
		h = decode(text)
	}
	if !h.bounded || h.neverAhead || !s.mayStart(h.request) {
		s.barrier = true
		return started{}, false
	}
	cost := aheadCost + guard.HeadersCost(h.request)
	if !s.account.take(cost) {
		s.barrier = true
		return started{}, false
	}
	s.barrier = h.last
	s.scanned += len(text)
	next := started{position: s.position + int64(s.behind()) + 1, head: bytes.Clone(text), request: h.request, cost: cost}
	s.ahead = append(s.ahead, next)
	return next, true
}

// isOpen reports whether requests behind the current one may be started.
func (s *stream) isOpen() bool {
	if s.eligibility == eligibilityUnknown {
		s.eligibility = eligibilityClosed
		if h := decode(s.head); s.phase == phaseEnd && h.bounded && !h.neverAhead && !h.last && s.mayStart(h.request) {
			s.eligibility = eligibilityOpen
		}
	}
	return s.eligibility == eligibilityOpen
}

// unanswered returns how many requests are in progress or wait for their turn, including the current one.
func (s *stream) unanswered() int { return 1 + s.behind() }

// behind returns how many requests behind the current one have been started.
func (s *stream) behind() int {
	if s.isStarted() {
		return len(s.ahead) - 1
	}
	return len(s.ahead)
}

// end records that net/http has answered the current request and reads the next one.
func (s *stream) end() {
	if s.phase != phaseEnd {
		s.giveUp() // net/http has found the end of the request elsewhere
	} else {
		s.phase = phaseHead
	}
	if s.isStarted() {
		s.ahead = s.ahead[1:]
	}
	if len(s.ahead) == 0 {
		s.eligibility, s.barrier = eligibilityUnknown, false
	}
	if s.head = s.head[:0]; cap(s.head) > pieceSize {
		s.head = nil // an idle connection holds little memory
	}
	s.position++
	s.serving = false
}

// drop discards what net/http has not read.
func (s *stream) drop() {
	s.buffer = bytes.Buffer{}
	s.release()
	s.forget()
}

// forget forgets the requests that were started ahead.
func (s *stream) forget() {
	s.ahead = nil
	s.scanned = 0
	s.eligibility = eligibilityClosed
}
