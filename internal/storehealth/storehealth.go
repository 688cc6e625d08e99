// Package storehealth keeps whether the platform's key-value store answers: this daemon, or others that
// told it so. No request waits for the store; what it decides is who has to watch it, and what
// operators read.
//
// The package owns that state and the events of its change. It relies on whoever calls the store to
// report each answer and each failure.
//
// # Usage
//
//	health := storehealth.New(storehealth.Config{Logger: logger})
//	health.UntilAnswered(ctx, func() error { return kv.Renew(ctx, lease) })
//	health.Seen(at) // another daemon knew the store to answer then
//	switch health.State() { ... }
package storehealth

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/wait"
)

// recentFor is how long what others said of the store counts. Not measured: daemons ask another one twice
// a second, so that forty answers without a word of it are a sign of an outage.
const recentFor = 20 * time.Second

// State is what is known of the store.
type State string

// The states.
const (
	Unknown State = "unknown"
	Up      State = "up"
	Down    State = "down"
)

// Config says where changes are logged.
type Config struct {
	Logger *slog.Logger
}

// Health keeps whether the store answers.
type Health struct {
	config   Config
	own      atomic.Pointer[State] // what this daemon's last call showed
	watching atomic.Bool           // this daemon has a watch that waits at the store
	// lastSeen is when the store was last known to answer. Its monotonic reading counts, since the wall clock may
	// step.
	lastSeen atomic.Pointer[time.Time]
}

// New returns the health of a store that has not been called yet.
func New(config Config) *Health {
	h := &Health{config: config}
	h.lastSeen.Store(&time.Time{})
	h.set(Unknown)
	return h
}

// set sets the state and returns the one before.
func (h *Health) set(state State) State {
	old := h.own.Swap(&state)
	if old == nil {
		return state
	}
	return *old
}

// RecordFailure records that a call was not answered.
func (h *Health) RecordFailure(err error) {
	h.RecordSeen(h.LastSeen())
	if h.set(Down) != Down {
		event.Log(h.config.Logger, event.PlatformUnreachable, "error", err)
	}
}

// RecordSuccess records that a call was answered.
func (h *Health) RecordSuccess() {
	if h.set(Up) == Down {
		event.Log(h.config.Logger, event.PlatformReachable)
	}
}

// RecordSeen records that the store was known to answer then, here or elsewhere.
func (h *Health) RecordSeen(at time.Time) {
	for {
		known := h.lastSeen.Load()
		if !at.After(*known) || h.lastSeen.CompareAndSwap(known, &at) {
			return
		}
	}
}

// LastSeen returns when the store was last known to answer, here or elsewhere. A
// watch that waits is as good as an answer.
func (h *Health) LastSeen() time.Time {
	if h.watching.Load() && h.Answers() {
		return time.Now()
	}
	return *h.lastSeen.Load()
}

// BeginWatch records that this daemon watches the store from now on.
func (h *Health) BeginWatch() { h.watching.Store(true) }

// EndWatch records that it no longer does.
func (h *Health) EndWatch() {
	h.RecordSeen(h.LastSeen())
	h.watching.Store(false)
}

// Answers reports whether this daemon's last call was answered.
func (h *Health) Answers() bool { return *h.own.Load() == Up }

// State returns the store's state for operators: what this daemon sees if it watches, else
// what it has heard of late.
func (h *Health) State() State {
	if h.watching.Load() {
		return *h.own.Load()
	}
	if time.Since(h.LastSeen()) < recentFor {
		return Up
	}
	return Unknown
}

// UntilAnswered repeats a call to the store until it is answered; it returns false if ctx
// ends before.
func (h *Health) UntilAnswered(ctx context.Context, call func() error) bool {
	if !h.Retry(ctx, call) {
		return false
	}
	h.RecordSuccess()
	return true
}

// Retry is UntilAnswered for a call whose answer may yet mean that another has to follow: only
// failures are recorded.
func (h *Health) Retry(ctx context.Context, call func() error) bool {
	pause := store.NewBackoff()
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			return true
		}
		h.RecordFailure(err)
		wait.For(ctx, pause.NextBackOff())
	}
	return false
}
