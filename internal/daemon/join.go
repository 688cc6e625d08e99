package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/settings"
	"github.com/tideliftd/tidelift/internal/wait"
)

// joinAsks is how many other daemons a daemon that joins asks at the most. Source: of
// those that the store names some may be gone, and the first that answers knows all.
const joinAsks = 4

// countAfter is when a daemon counts the hosts that the store lists. Source: hosts that start
// together have written their records within a few seconds, also while the store is slow; what
// they share is used later still.
const countAfter = 5 * time.Second

const (
	// sharedFor is how long after the store last took its record a daemon uses its part of what the
	// hosts share. Source: one that starts within the time that is left until the record lapses finds
	// it, and waits.
	sharedFor = 20 * time.Second
	// sharedLook is how often it is looked at whether that time is over.
	sharedLook = time.Second
)

// registers says whether hosts and backend servers register themselves.
func (d *daemon) registers() bool {
	return d.config.Settings.Source.Declared == settings.DeclaredByPlatform
}

// join keeps this daemon's record in the store until ctx ends, and finds the
// other daemons there. Of two that start at once the one that writes its record
// later finds the other's, since each reads after it has written. What a record
// says is told from daemon to daemon; in the store it only lets a daemon that
// knows nobody find some.
func (d *daemon) join(ctx context.Context) {
	go d.tellUpdates(ctx)
	lease := d.writeRecord(ctx)
	d.readRecords(ctx)
	d.notePlatform(time.Now())
	d.askSomeone(ctx)
	close(d.joined)
	d.tell("", []member.Host{d.members.self()})
	go d.countHosts(ctx)
	d.keepRecord(ctx, lease)
}

// countHosts reads the hosts' records once more when this daemon has been there for a while. Those
// that started at the same time are in them, also if none can reach another, so that all hosts
// together share what each of them takes its part of.
func (d *daemon) countHosts(ctx context.Context) {
	if !wait.For(ctx, countAfter) {
		return
	}
	d.readRecords(ctx)
	d.counted.Store(true)
	d.retake()
	for used := true; wait.For(ctx, sharedLook); {
		if now := d.hostsCounted(); now != used {
			used = now
			d.retake()
		}
	}
}

// hostsCounted says whether this daemon may use its part of what the hosts share: it knows how many
// they are, and the store has had its record for most of the time.
func (d *daemon) hostsCounted() bool {
	if !d.registers() {
		return true
	}
	return d.counted.Load() && time.Now().UnixNano()-d.recorded.Load() < int64(sharedFor)
}

// askSomeone asks the daemons that the store names, in no order, for what they know until
// one answers, so that a daemon that is back knows the backend servers before requests
// come.
func (d *daemon) askSomeone(ctx context.Context) {
	others := slices.DeleteFunc(d.members.all(), func(h member.Host) bool {
		return h.Gone || h.Name == d.config.Settings.Name
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, h := range others[:min(joinAsks, len(others))] {
		if d.ask(ctx, h.Control) {
			return
		}
	}
}
