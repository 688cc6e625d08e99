package daemon

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/serve"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// settleFor is how long a planned stop waits before it closes connections. Not measured: whoever sends a
	// request a second on a connection is answered once meanwhile, and asked to close it.
	settleFor = time.Second
	// lastAnswersPart and endPart are the parts of a stop's limit before its end in which
	// callers that still wait get their last answers and in which the daemon has ended.
	// Source: whoever stops the daemon kills it at the limit. Of 6 s the one leaves half
	// a second for the answers' way on a slow host, the other a quarter for the end.
	lastAnswersPart = 12
	endPart         = 24
)

// stop ends the daemon: it says that it is not ready and serves on for a while, then
// ends callers first, then peers, then operators, each after finishing what it has
// begun. Callers that still wait shortly before the limit get a last answer then.
func (d *daemon) stop(servers *serve.Servers) error {
	event.Log(d.config.Logger, event.DaemonStopping, "in_flight", d.ingress.InFlight())
	d.stopping.Store(true)
	servers.CloseAfterAnswers()
	d.ingress.BeginShutdown()
	limits := d.live.Load().Limits
	ctx, cancel := context.WithTimeout(context.Background(), limits.Stop-limits.Stop/endPart)
	defer cancel()
	go d.forceStop(cancel)
	lastAnswers := time.AfterFunc(limits.Stop-limits.Stop/lastAnswersPart, d.ingress.AnswerAll)
	defer lastAnswers.Stop()
	wait.For(ctx, limits.Unready)
	d.takeNoMore(servers)
	d.settle(ctx)
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

// takeNoMore tells the others, refuses work for the own backend servers and takes no
// new connections.
func (d *daemon) takeNoMore(servers *serve.Servers) {
	d.members.Stop()
	d.sidecar.Stop()
	servers.Refuse()
}

// settle lets callers and peers learn of the stop while their connections are
// still open: each answer from now on asks them to close, so that few of them
// send a request on a connection that is just being closed.
func (d *daemon) settle(ctx context.Context) {
	settling, cancel := context.WithTimeout(ctx, settleFor)
	defer cancel()
	d.notifyDraining(settling)
	<-settling.Done()
}

// forceStop ends the planned stop at once when it is told to.
func (d *daemon) forceStop(cancel func()) {
	if d.config.Force == nil {
		return
	}
	<-d.config.Force
	cancel()
}
