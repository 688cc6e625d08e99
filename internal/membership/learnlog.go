package membership

import (
	"log/slog"
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/member"
)

const (
	// maxHostLines is the number of changed hosts that are logged one by one in hostLinePeriod.
	// When a fleet starts, each daemon learns of every other host.
	maxHostLines   = 10
	hostLinePeriod = time.Second
)

// learnLog logs the hosts that changed: the first of each period one by one, the others as a count.
type learnLog struct {
	logger *slog.Logger

	mu      sync.Mutex
	began   time.Time // of the current period
	lines   int       // logged in the current period
	omitted int       // hosts that were only counted since the last summary
}

// record logs or counts changed hosts.
func (l *learnLog) record(now time.Time, from string, hosts []member.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.began) >= hostLinePeriod {
		l.began, l.lines = now, 0
	}
	for _, h := range hosts {
		if l.lines >= maxHostLines {
			l.omitted++
			continue
		}
		l.lines++
		event.Log(l.logger, event.HostLearned, "host", h.Name, "from", from, "life", h.Incarnation, "version", h.Version,
			"gone", h.Gone, "stopping", h.Stopping, "servers", len(h.Servers))
	}
}

// summarize logs the number of hosts that were only counted.
func (l *learnLog) summarize() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.omitted > 0 {
		event.Log(l.logger, event.MoreHostsLearned, "hosts", l.omitted)
		l.omitted = 0
	}
}
