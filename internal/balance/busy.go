package balance

const (
	// busyUnit is a share of one in BusyShare's counting, and busyWeight the part
	// that the newest answer weighs. Not measured: some dozens of answers say how crowded a
	// service is.
	busyUnit   = 1 << 20
	busyWeight = 16
)

// RecordSlotCheck records whether a target had a free slot when it was asked for one.
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

// BusyShare returns how many of the last targets asked had no free slot, from 0
// to 1.
func (p *Pool) BusyShare() float64 { return float64(p.busyShare.Load()) / busyUnit }
