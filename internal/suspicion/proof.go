package suspicion

import "time"

// proof is what the requests of a backend server show beside their outcomes: whether those
// that run take longer than they should, and no later one has been answered well.
type proof struct {
	lateBegan time.Time // when the request began that began last of those that were slow
	goodBegan time.Time // the same of those that were answered well
	late      int       // those that are slow and still run
	until     time.Time // until when one that has ended counts
}

// Late takes it that a running request which began then has outlasted nearly all others of
// its route.
func (d *Suspicion) Late(began time.Time) {
	d.proof.late++
	if began.After(d.proof.lateBegan) {
		d.proof.lateBegan = began
	}
}

// LateEnded takes it that a slow request which began then has ended. It counts for as long
// again as it ran: after that somebody has to find out, where nothing else does.
func (d *Suspicion) LateEnded(now, began time.Time) {
	d.proof.late--
	if until := now.Add(now.Sub(began)); until.After(d.proof.until) {
		d.proof.until = until
	}
}

// Hanging says whether a request is slow, or was a moment ago, and no later one has been
// answered well. One that hangs shows that long before it ends; whatever is sent after it
// may hang too.
func (d *Suspicion) Hanging(now time.Time) bool {
	counts := d.proof.late > 0 || now.Before(d.proof.until)
	return counts && d.proof.lateBegan.After(d.proof.goodBegan)
}

// goodSince takes it that a request which began then was answered well.
func (p *proof) goodSince(began time.Time) {
	if began.After(p.goodBegan) {
		p.goodBegan = began
	}
}
