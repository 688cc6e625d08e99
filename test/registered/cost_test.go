package registered

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// BenchmarkFleet sends 12 requests per second to each host of a fleet, which run for 60 ms at one of four
// slots. It reports the processor time per request of all daemons, callers and backend servers together,
// and that of the idle daemons. Profile it with -cpuprofile.
//
//	go test ./test/registered -run '^$' -bench Fleet -benchtime 5s -cpuprofile cpu.prof
func BenchmarkFleet(b *testing.B) {
	const (
		daemons   = 24
		perSecond = 12 // requests at each daemon
		work      = 60 * time.Millisecond
	)
	f := newFleet(b, daemons)
	for _, h := range f.hosts {
		h.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(work)
			writeSigned(w, http.StatusOK, "done")
		})
	}
	f.writeDesiredWithCustomers(2, `"`+keyOfCounty+`"`, 1000, 1000)
	f.waitForStatus(unknownKey, http.StatusUnauthorized)
	time.Sleep(2 * time.Second)
	idle := processorTime()
	time.Sleep(2 * time.Second)
	b.ReportMetric((processorTime()-idle).Seconds()*1000/2/daemons, "idle-ms/s/daemon")
	clients := make([]*http.Client, daemons)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	}
	b.ResetTimer()
	before := processorTime()
	var requests sync.WaitGroup
	for n := range b.N {
		at := n % daemons
		requests.Go(func() { f.hosts[at].getWithKey(clients[at], "/twice/x", keyOfCounty, newID()) })
		time.Sleep(time.Duration(rand.Float64() * 2 * float64(time.Second) / (perSecond * daemons)))
	}
	requests.Wait()
	b.ReportMetric((processorTime()-before).Seconds()*1000/float64(b.N), "cpu-ms/op")
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
