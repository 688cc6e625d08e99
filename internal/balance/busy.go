package balance

const (
	// busyUnit is the fixed-point representation of one in BusyShare, and busyWeight the divisor
	// of the newest answer in the moving average.
	busyUnit   = 1 << 20
	busyWeight = 16
)

// RecordSlotCheck records whether a target had a free slot for a request.
func (p *Pool) RecordSlotCheck(free bool) {
	for {
		old := p.busyShare.Load()
		next := old - old/busyWeight
		if !free {
			next += busyUnit / busyWeight
		}
		if p.busyShare.CompareAndSwap(old, next) {
			return
		}
	}
}

// BusyShare returns the moving average share of targets without a free slot, from 0 to 1.
func (p *Pool) BusyShare() float64 { return float64(p.busyShare.Load()) / busyUnit }
