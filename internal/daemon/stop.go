package daemon

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/serve"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// announcePeriod is how long a planned stop lets answers request callers and peers to
	// close their connections. It suffices for one answer at a request per second.
	announcePeriod = time.Second
	// The process may be killed at the stop limit. Waiting callers receive a final answer
	// limit/finalAnswersDivisor earlier, and the daemon ends limit/endDivisor earlier.
	finalAnswersDivisor = 12
	endDivisor          = 24
)

// stop ends the daemon: it reports that it is not ready and continues to serve for a
// while what will end in time, then ends callers, then peers, then operators, each after
// finishing what is in flight. Callers that still wait shortly before the limit receive a
// final answer.
func (d *daemon) stop(servers *serve.Servers) error {
	began := time.Now()
	event.Log(d.config.Logger, event.DaemonStopping, "in_flight", d.ingress.InFlight())
	d.stopping.Store(true)
	servers.DisableKeepAlives()
	limits := d.live.Load().Limits
	finalAnswersAt := began.Add(limits.Stop - limits.Stop/finalAnswersDivisor)
	d.ingress.BeginShutdown(finalAnswersAt)
	d.sidecar.BeginShutdown(finalAnswersAt)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(limits.Stop-limits.Stop/endDivisor))
	defer cancel()
	go d.forceStop(cancel)
	finalAnswers := time.AfterFunc(time.Until(finalAnswersAt), d.ingress.AnswerAll)
	defer finalAnswers.Stop()
	wait.For(ctx, limits.Unready)
	d.stopAccepting(servers)
	d.announceStop(ctx)
	servers.CloseUnused()
	d.ingress.Stop()
	err := servers.Stop(ctx)
	if err != nil {
		event.Log(d.config.Logger, event.StopCut, "in_flight", d.ingress.InFlight(), "error", err)
		return err
	}
	event.Log(d.config.Logger, event.DaemonStopped, "uptime", time.Since(d.started).Round(time.Millisecond))
	return nil
}

// stopAccepting notifies the other daemons, refuses work for the local backend servers
// and accepts no new connections.
func (d *daemon) stopAccepting(servers *serve.Servers) {
	d.members.Stop()
	d.sidecar.Stop()
	servers.Refuse()
}

// announceStop notifies callers and peers of the stop while their connections are
// still open: each answer requests them to close the connection, so that few send a
// request on a connection that is being closed.
func (d *daemon) announceStop(ctx context.Context) {
	announceCtx, cancel := context.WithTimeout(ctx, announcePeriod)
	defer cancel()
	d.notifyDraining(announceCtx)
	<-announceCtx.Done()
}

// forceStop ends the planned stop immediately when Config.Force is closed.
func (d *daemon) forceStop(cancel func()) {
	if d.config.Force == nil {
		return
	}
	<-d.config.Force
	cancel()
}
