package quarantinesync

import (
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/fingerprint"
)

const (
	// maxAnswers, maxAnswerBytes and answerTTL bound the answers that are remembered: their number, the bytes of their
	// requests and their age. Without a partition, an end that another daemon reports arrives within answerTTL.
	maxAnswers     = 1024
	maxAnswerBytes = 1 << 20
	answerTTL      = 10 * time.Second
)

// answer is an answered request. Its hash and its digest are computed only if an end of a backend server is to be
// compared with it, so that answers cost little while no request is suspected.
type answer struct {
	request fingerprint.Request
	body    []byte
	at      time.Time
	head    uint64
	hashed  bool
	digest  string // empty until it is computed
}

// size returns how many bytes of the request are kept.
func (a *answer) size() int {
	r := a.request
	return len(r.Method) + len(r.Host) + len(r.Path) + len(r.Query) + len(r.Customer) + len(a.body)
}

// recentAnswers remembers requests that were answered while they were not suspected. It is safe for concurrent use.
type recentAnswers struct {
	mu     sync.Mutex
	ring   []answer // allocated with the first answer
	oldest int
	count  int
	bytes  int
}

// add remembers an answer. The body is not copied, and must not change.
func (a *recentAnswers) add(now time.Time, r fingerprint.Request, body []byte) {
	r.Body = nil
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ring == nil {
		a.ring = make([]answer, maxAnswers)
	}
	added := answer{request: r, body: body, at: now}
	a.bytes += added.size()
	for a.count > 0 && (a.count == maxAnswers || a.bytes > maxAnswerBytes || now.Sub(a.ring[a.oldest].at) > answerTTL) {
		a.dropOldest()
	}
	a.ring[a.index(a.count)] = added
	a.count++
}

func (a *recentAnswers) dropOldest() {
	dropped := &a.ring[a.oldest]
	a.bytes -= dropped.size()
	*dropped = answer{}
	a.oldest = a.index(1)
	a.count--
}

// index returns the position in the ring of the answer n places after the oldest.
func (a *recentAnswers) index(n int) int { return (a.oldest + n) % maxAnswers }

// last returns when the request was last answered, and whether that is remembered.
func (a *recentAnswers) last(head uint64, id string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for n := a.count - 1; n >= 0; n-- {
		if known := &a.ring[a.index(n)]; known.matches(head, id) {
			return known.at, true
		}
	}
	return time.Time{}, false
}

// matches reports whether the answered request has the head hash and the digest.
func (a *answer) matches(head uint64, id string) bool {
	if !a.hashed {
		a.head = a.request.HeadHash()
		a.hashed = true
	}
	if a.head != head {
		return false
	}
	if a.digest == "" {
		r := a.request
		r.Body = func(limit int) ([]byte, error) { return a.body[:min(len(a.body), limit)], nil }
		a.digest, _ = r.Digest() // fails only if the body cannot be read
	}
	return a.digest == id
}
