package daemon

import (
	"time"

	"github.com/tideliftd/tidelift/internal/event"
)

// recently is how long what others said of the platform counts.
const recently = 20 * time.Second

// platformState is what the platform's last answer showed.
type platformState string

const (
	platformUnknown platformState = "unknown"
	platformUp      platformState = "up"
	platformDown    platformState = "down"
)

// setPlatform sets the state and returns the one before.
func (d *daemon) setPlatform(state platformState) platformState {
	old := d.platform.Swap(&state)
	if old == nil {
		return state
	}
	return *old
}

// platformFailed takes it that a call to the platform was not answered.
func (d *daemon) platformFailed(err error) {
	d.notePlatform(d.platformLastSeen())
	if d.setPlatform(platformDown) != platformDown {
		event.Log(d.config.Logger, event.PlatformUnreachable, "error", err)
	}
}

// platformAnswered takes it that a call to the platform was answered.
func (d *daemon) platformAnswered() {
	if d.setPlatform(platformUp) == platformDown {
		event.Log(d.config.Logger, event.PlatformReachable)
	}
}

// platformLastSeen returns when the platform was last known to answer, here or
// elsewhere. A watch that waits is as good as an answer.
func (d *daemon) platformLastSeen() time.Time {
	if d.watching.Load() && *d.platform.Load() == platformUp {
		return time.Now()
	}
	return time.Unix(0, d.lastSeen.Load())
}

// platformNow is the state of the platform for operators: what this daemon sees
// if it watches, else what it has heard of late.
func (d *daemon) platformNow() platformState {
	if d.watching.Load() {
		return *d.platform.Load()
	}
	if time.Since(d.platformLastSeen()) < recently {
		return platformUp
	}
	return platformUnknown
}

// notePlatform takes it that the platform was known to answer then.
func (d *daemon) notePlatform(at time.Time) {
	for {
		known := d.lastSeen.Load()
		if at.UnixNano() <= known || d.lastSeen.CompareAndSwap(known, at.UnixNano()) {
			return
		}
	}
}
