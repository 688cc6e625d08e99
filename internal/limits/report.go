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
	// checkEvery is the interval of the check for due reports: half of the shortest pause
	// between two reports.
	checkEvery = 50 * time.Millisecond
	// checkEveryIdle is the interval of the check while no customer has a limit.
	checkEveryIdle = time.Second
	// reportTimeout bounds a report and its answer. It is short, so that two reports can fail
	// before a limit is exceeded by much.
	reportTimeout = 150 * time.Millisecond
	// skipFor is how long a daemon that did not answer a report is skipped. It is twice the
	// restart time of a daemon.
	skipFor = 2 * time.Second
)

// Run sends reports until ctx ends. The reports of this daemon and those that it forwards for
// others run in separate goroutines, so that neither waits for the other's answer.
func (l *Limits) Run(ctx context.Context) {
	go l.repeatWhileLimited(ctx, nil, l.forwardIfDue)
	l.repeatWhileLimited(ctx, l.verdictWanted, l.reportIfDue)
}

// repeatWhileLimited calls report at each check interval and when woken, until ctx ends. It
// does not call it while no customer has a limit.
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
		wait.ForOrSignal(ctx, checkEvery, wake)
	}
}

// reportIfDue sends this daemon's counts to the data centre's collector if a report is due.
func (l *Limits) reportIfDue(ctx context.Context) {
	now := time.Now()
	l.mu.Lock()
	if !l.gate.Due(now) {
		l.mu.Unlock()
		return
	}
	counted := control.CountReport{Urgent: l.gate.AwaitsVerdict()}
	counted.Report = quota.Report{From: l.config.Host, Hosts: 1, Counts: l.gate.Drain(now), HadVerdict: l.gate.HasVerdict()}
	to, remote := l.firstReachable(l.collectors, now)
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

// collect adds a daemon's report and returns the last verdict of the ledger. An urgent report
// is forwarded first, so that the verdict takes it into account.
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

// forwardIfDue forwards the reports of this data centre's daemons to the ledger if that is due.
func (l *Limits) forwardIfDue(ctx context.Context) {
	l.mu.Lock()
	due := l.collector.Due(time.Now())
	l.mu.Unlock()
	if due {
		l.forward(ctx)
	}
}

// forward sends the collected counts to the ledger. It waits for a report in flight, and counts
// that arrive in the meantime go out in a single report.
func (l *Limits) forward(ctx context.Context) {
	l.forwarding.Lock()
	defer l.forwarding.Unlock()
	l.mu.Lock()
	now := time.Now()
	if !l.collector.HasPending() {
		l.mu.Unlock()
		return // a concurrent report included it
	}
	counted := l.collector.Drain(now, l.config.Host)
	to, remote := l.firstReachable(l.ledgers, now)
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

// firstReachable returns the first host in the order that is not skipped; false if that is this
// host or none is left. The caller must hold mu.
func (l *Limits) firstReachable(order []fleet.Host, now time.Time) (fleet.Host, bool) {
	for _, h := range order {
		if h.Name == l.config.Host {
			break
		}
		if now.After(l.skippedUntil[h.Name]) && !l.config.Unreachable(h.Name) {
			return h, true
		}
	}
	return fleet.Host{}, false
}

// send sends a report, and marks the host to be skipped for a while if it does not answer.
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
	l.skippedUntil[to.Name] = time.Now().Add(skipFor)
	return quota.Verdict{}, false
}

// HandleCountReport handles the report of another daemon.
func (l *Limits) HandleCountReport(ctx context.Context, params json.RawMessage) (any, error) {
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
