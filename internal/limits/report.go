package limits

import (
	"context"
	"encoding/json"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/quota"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// checkEvery is how often a report may become due. Source: half of the
	// shortest pause between two reports.
	checkEvery = 50 * time.Millisecond
	// checkEveryIdle is the same while no customer has a limit.
	checkEveryIdle = time.Second
	// reportTimeout bounds a report and its answer. Source: fifty round trips between data
	// centres; a second one may be lost before a limit is much exceeded.
	reportTimeout = 150 * time.Millisecond
	// passOverFor is how long a daemon that did not answer a report is passed over. Source:
	// twice as long as a daemon that was killed takes to be back.
	passOverFor = 2 * time.Second
)

// Run reports until ctx ends. What this daemon counted and what others reported to it have
// a task each, so that neither waits for the other's answer.
func (l *Limits) Run(ctx context.Context) {
	go l.repeatWhileLimited(ctx, nil, l.forwardIfDue)
	l.repeatWhileLimited(ctx, l.verdictWanted, l.reportIfDue)
}

// repeatWhileLimited calls the function as often as a report may be due, and when woken.
func (l *Limits) repeatWhileLimited(ctx context.Context, wake <-chan struct{}, report func(context.Context)) {
	for ctx.Err() == nil {
		l.mu.Lock()
		enforced := len(l.declared) > 0
		l.mu.Unlock()
		if !enforced {
			wait.For(ctx, checkEveryIdle)
			continue
		}
		report(ctx)
		wait.Woken(ctx, checkEvery, wake)
	}
}

// reportIfDue tells the data centre's collector what was counted here, if that is due.
func (l *Limits) reportIfDue(ctx context.Context) {
	now := time.Now()
	l.mu.Lock()
	if !l.gate.Due(now) {
		l.mu.Unlock()
		return
	}
	counted := control.CountReport{Urgent: l.gate.AwaitsVerdict()}
	counted.Report = quota.Report{From: l.config.Host, Hosts: 1, Counts: l.gate.Drain(now), HadVerdict: l.gate.HasVerdict()}
	to, remote := l.firstPresent(l.collectors, now)
	l.mu.Unlock()
	var verdict quota.Verdict
	ok := true
	if remote {
		verdict, ok = l.send(ctx, to, counted)
	} else {
		verdict = l.collect(ctx, counted)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.gate.Restore(counted.Report.Counts)
		return
	}
	l.gate.SetVerdict(verdict)
}

// collect counts a daemon's report and returns the ledger's last verdict. An urgent one is
// forwarded before.
func (l *Limits) collect(ctx context.Context, counted control.CountReport) quota.Verdict {
	l.mu.Lock()
	verdict := l.collector.Add(time.Now(), counted.Report)
	l.mu.Unlock()
	if !counted.Urgent {
		return verdict
	}
	l.forward(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.collector.Verdict(time.Now())
}

// forwardIfDue tells the fleet's ledger what this data centre's daemons reported here, if that is
// due.
func (l *Limits) forwardIfDue(ctx context.Context) {
	l.mu.Lock()
	due := l.collector.Due(time.Now())
	l.mu.Unlock()
	if due {
		l.forward(ctx)
	}
}

// forward tells the ledger at once, or once the report before has been answered: what was counted
// meanwhile goes with one report.
func (l *Limits) forward(ctx context.Context) {
	l.forwarding.Lock()
	defer l.forwarding.Unlock()
	l.mu.Lock()
	now := time.Now()
	if !l.collector.HasPending() {
		l.mu.Unlock()
		return // another report has taken it along
	}
	counted := l.collector.Drain(now, l.config.Host)
	to, remote := l.firstPresent(l.ledgers, now)
	if !remote {
		l.collector.SetVerdict(now, l.ledger.Add(now, counted))
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	verdict, ok := l.send(ctx, to, control.CountReport{Report: counted, Fleet: true})
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.collector.Restore(counted.Counts)
		return
	}
	l.collector.SetVerdict(time.Now(), verdict)
}

// firstPresent returns the first host in the order that is not passed over; false if that is
// this one, or if none is left. The caller holds mu.
func (l *Limits) firstPresent(order []fleet.Host, now time.Time) (fleet.Host, bool) {
	for _, h := range order {
		if h.Name == l.config.Host {
			break
		}
		if now.After(l.silent[h.Name]) && !l.config.Unreachable(h.Name) {
			return h, true
		}
	}
	return fleet.Host{}, false
}

// send sends a report, and passes the host over for a while if it does not answer.
func (l *Limits) send(ctx context.Context, to fleet.Host, counted control.CountReport) (quota.Verdict, bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var verdict quota.Verdict
	err := l.config.Peers.CallLogged(ctx, l.config.Peers.Address(to), control.MethodReportCounts, counted, &verdict)
	if err == nil {
		return verdict, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent[to.Name] = time.Now().Add(passOverFor)
	return quota.Verdict{}, false
}

// HandleCounted answers another daemon's report.
func (l *Limits) HandleCounted(ctx context.Context, params json.RawMessage) (any, error) {
	var counted control.CountReport
	if err := control.Decode(params, &counted); err != nil {
		return nil, err
	}
	if !counted.Fleet {
		return l.collect(ctx, counted), nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Add(time.Now(), counted.Report), nil
}
