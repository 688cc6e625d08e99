package retry

import "time"

const (
	// safety is the part of the limit that is used. Source: calls of a run that was
	// itself a repeat count as repeats too, and nobody here sees those; on a day with
	// 205 repeats in a window they were more than a fifth. A daemon that starts again has
	// also forgotten what it spent.
	safety = 0.65
	// oneRetry is what a retry costs.
	oneRetry = 1
)

// Size is how much a budget holds.
type Size struct {
	// Share is the retries as a share of the service's requests, from 0 to 1.
	Share float64
	// Slack is how many retries beyond that the service may get in a window.
	Slack float64
	// Window is the time over which both are counted, more than zero.
	Window time.Duration
	// Parts is how many budgets share the slack.
	Parts int
}

// slack is this budget's part of it. A part may be less than one retry; one can still be
// made, which the safety covers.
func (s Size) slack() float64 {
	return max(oneRetry, safety*s.Slack/float64(max(1, s.Parts)))
}

// allowed is how many retries a window with that many requests may have.
func (s Size) allowed(requests int) float64 {
	return safety*s.Share*float64(requests) + s.slack()
}

// Budget bounds the retries that one backend server gets over a sliding window. One that
// got none for a while has all that its requests of the last window earned. The sidecar's task
// owns it.
type Budget struct {
	size    Size
	counted window
}

// NewBudget returns a budget that allows nothing until Resize.
func NewBudget() *Budget { return &Budget{} }

// Resize takes a new size. What was counted stays, unless the window changes.
func (b *Budget) Resize(size Size) {
	if b.size.Window != size.Window {
		b.counted = window{length: size.Window}
	}
	b.size = size
}

// Earn counts a request.
func (b *Budget) Earn(now time.Time) {
	if c := b.counted.current(now); c != nil {
		c.requests++
	}
}

// Spend takes one retry, or says that none is left.
func (b *Budget) Spend(now time.Time) bool {
	if !b.Left(now) {
		return false
	}
	b.counted.current(now).retries++
	return true
}

// GiveBack returns a retry that was taken a moment ago and not made.
func (b *Budget) GiveBack(now time.Time) {
	if c := b.counted.current(now); c != nil && c.retries > 0 {
		c.retries--
	}
}

// Left says whether there is a retry to spend: it compares the retries of the last window
// with what its requests and the slack allow.
func (b *Budget) Left(now time.Time) bool {
	if b.counted.current(now) == nil {
		return false
	}
	requests, retries := b.counted.sums()
	return float64(retries)+oneRetry <= b.size.allowed(requests)
}
