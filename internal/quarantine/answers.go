package quarantine

import "time"

const (
	// answerTTL is the minimum time for which an answer is remembered, unless more than maxAnswers/2 requests are
	// answered within it. Without a partition, an end that another daemon reports arrives within it.
	answerTTL = 10 * time.Second
	// maxAnswers is the maximum number of answered requests that are remembered. They take some 400 KB.
	maxAnswers = 4096
)

// answers remembers when requests were last answered. It holds two generations, the older of which is discarded as a
// whole.
type answers struct {
	recent, older map[string]int64 // Unix milliseconds by request ID
	rotatedAt     time.Time
}

// record remembers that the request was answered at the time.
func (a *answers) record(at time.Time, id string) {
	if a.recent == nil || len(a.recent) >= maxAnswers/2 || at.Sub(a.rotatedAt) >= answerTTL {
		a.older = a.recent
		a.recent = make(map[string]int64)
		a.rotatedAt = at
	}
	a.recent[id] = max(a.recent[id], at.UnixMilli())
}

// last returns when the request was last answered, in Unix milliseconds, and whether an answer is remembered.
func (a *answers) last(id string) (int64, bool) {
	recent, isRecent := a.recent[id]
	older, isOlder := a.older[id]
	return max(recent, older), isRecent || isOlder
}
