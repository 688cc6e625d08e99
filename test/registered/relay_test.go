package registered

import "testing"

// TestRelaysSpreadHostsOfOtherDataCentres guards against daemons that never learn of the backend servers of
// another data centre, because only a few daemons in each compare hosts with it.
func TestRelaysSpreadHostsOfOtherDataCentres(t *testing.T) {
	const daemons, dataCentres = 16, 2
	f := newSpreadFleet(t, daemons, dataCentres)
	f.store.SetOutage(true)
	f.hosts[0].end()
	f.hosts[0].start()
	f.hosts[0].startIncarnation("second")
	for _, h := range f.hosts {
		f.waitUntil(h.daemonName()+" to know every backend server", func() bool { return h.known() == daemons })
	}
}
