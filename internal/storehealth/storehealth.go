// Package storehealth tracks whether the platform's key-value store answers the calls of this daemon
// or of others that reported it. No request waits for the store; the state determines which daemons
// watch it, and is shown to operators.
//
// The package owns the state and the events of its changes. It relies on the callers of the store to
// report each answer and each failure.
//
// # Usage
//
//	health := storehealth.New(storehealth.Config{Logger: logger})
//	health.UntilAnswered(ctx, func() error { return kv.Renew(ctx, lease) })
//	health.RecordWatched() // a watch of the declaration was answered
//	health.RecordSeen(at)  // another daemon reported that its watch was answered then
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

// seenTTL is how long the store counts as up after it was last known to answer, for a daemon that does
// not watch it.
const seenTTL = 20 * time.Second

// State is the known state of the store.
type State string

// States of the store.
const (
	Unknown State = "unknown"
	Up      State = "up"
	Down    State = "down"
)

// Config configures a Health.
type Config struct {
	Logger *slog.Logger
}

// Health tracks whether the store answers.
type Health struct {
	config   Config
	local    atomic.Pointer[State] // result of this daemon's last call
	watching atomic.Bool           // whether this daemon watches the store
	// lastSeen is when the store last answered a watch of the declaration, here or at another daemon. It
	// keeps its monotonic reading, since the wall clock may step.
	lastSeen atomic.Pointer[time.Time]
}

// New returns the Health of a store that has not been called yet.
func New(config Config) *Health {
	h := &Health{config: config}
	h.lastSeen.Store(&time.Time{})
	h.set(Unknown)
	return h
}

// set sets the state and returns the previous one.
func (h *Health) set(state State) State {
	old := h.local.Swap(&state)
	if old == nil {
		return state
	}
	return *old
}

// RecordFailure records that a call failed.
func (h *Health) RecordFailure(err error) {
	if h.set(Down) != Down {
		event.Log(h.config.Logger, event.PlatformUnreachable, "error", err)
	}
}

// RecordWatched records that a watch of the declaration was answered, so that all changes up to now are known.
func (h *Health) RecordWatched() {
	h.RecordSuccess()
	h.RecordSeen(time.Now())
}

// RecordSuccess records that a call was answered.
func (h *Health) RecordSuccess() {
	if h.set(Up) == Down {
		event.Log(h.config.Logger, event.PlatformReachable)
	}
}

// RecordSeen records that the store answered a watch of the declaration at that time, here or at another daemon.
func (h *Health) RecordSeen(at time.Time) {
	for {
		known := h.lastSeen.Load()
		if !at.After(*known) || h.lastSeen.CompareAndSwap(known, &at) {
			return
		}
	}
}

// LastSeen returns when the store last answered a watch of the declaration, here or at another daemon;
// changes until then are known. A pending watch is no answer, since its connection may be broken silently.
func (h *Health) LastSeen() time.Time { return *h.lastSeen.Load() }

// BeginWatch records that this daemon begins to watch the store.
func (h *Health) BeginWatch() { h.watching.Store(true) }

// EndWatch records that this daemon no longer watches the store.
func (h *Health) EndWatch() { h.watching.Store(false) }

// Watching reports whether this daemon watches the store now.
func (h *Health) Watching() bool { return h.watching.Load() }

// Answers reports whether this daemon's last call was answered.
func (h *Health) Answers() bool { return *h.local.Load() == Up }

// State returns the store's state for operators: the result of this daemon's last call if it
// watches, and otherwise Up if the store was seen recently.
func (h *Health) State() State {
	if h.Watching() {
		return *h.local.Load()
	}
	if time.Since(h.LastSeen()) < seenTTL {
		return Up
	}
	return Unknown
}

// UntilAnswered repeats a call to the store until it succeeds and records the success. It returns
// false if ctx is done first.
func (h *Health) UntilAnswered(ctx context.Context, call func() error) bool {
	if !h.Retry(ctx, call) {
		return false
	}
	h.RecordSuccess()
	return true
}

// Retry is like UntilAnswered, but records only failures. It is for a call after which another one
// may be necessary.
func (h *Health) Retry(ctx context.Context, call func() error) bool {
	retryBackoff := store.NewBackoff()
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			return true
		}
		h.RecordFailure(err)
		wait.For(ctx, retryBackoff.NextBackOff())
	}
	return false
}
