package floor_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/floor"
)

// TestLeaseRequestsDoNotGrow guards against an ejection that costs more calls in a larger service.
func TestLeaseRequestsDoNotGrow(t *testing.T) {
	// The hash spreads the names, so that the largest group exceeds the mean size.
	const most = 2 * floor.MaxGroupSize
	for _, servers := range []int{10, 40, 41, 100, 300, 740, 1500, 43000} {
		groups := floor.GroupCount(servers)
		sizes := make([]int, groups)
		for n := range servers {
			sizes[floor.GroupOf(fmt.Sprintf("i-%d", n), groups)]++
		}
		total := 0
		for _, size := range sizes {
			if size > most {
				t.Errorf("%d backend servers: a group has %d, want at most %d", servers, size, most)
			}
			total += floor.GroupFloor(servers*7/10, servers, size)
		}
		if total < servers*7/10 {
			t.Errorf("%d backend servers: the floors of the groups add up to %d, less than that of the service", servers, total)
		}
	}
}

// groupedFleet simulates a service whose sidecars know different numbers of its backend servers, so
// that they divide it into different numbers of groups.
type groupedFleet struct {
	random  *rand.Rand
	now     time.Time
	servers []*groupedServer
}

// groupedServer is a backend server and what its sidecar believes.
type groupedServer struct {
	name    string
	ledger  *floor.Ledger
	sick    bool
	view    int // number of backend servers that its sidecar knows, from the first
	group   []*groupedServer
	floor   int
	restart uint64
}

const (
	groupedServers = 740
	// groupedViews are the numbers of backend servers that sidecars know; the number of groups
	// changes between them.
	smallestView, largestView = 630, groupedServers
)

func newGroupedFleet(seed uint64) *groupedFleet {
	f := &groupedFleet{random: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	for n := range groupedServers {
		f.servers = append(f.servers, &groupedServer{name: fmt.Sprintf("i-%d", n)})
	}
	for _, s := range f.servers {
		f.start(s)
		f.learn(s)
	}
	f.now = f.now.Add(floor.LeaseDuration)
	return f
}

func (f *groupedFleet) start(s *groupedServer) {
	s.restart += 1_000_000
	s.ledger = floor.NewLedger(floor.Config{Name: s.name, Start: f.now, FirstNumber: s.restart})
}

// learn draws how many backend servers the sidecar knows.
func (f *groupedFleet) learn(s *groupedServer) {
	s.view = smallestView + f.random.IntN(largestView-smallestView+1)
	groups := floor.GroupCount(s.view)
	s.group = nil
	names := []string{}
	for _, other := range f.servers[:s.view] {
		if other != s && floor.GroupOf(other.name, groups) == floor.GroupOf(s.name, groups) {
			s.group = append(s.group, other)
			names = append(names, other.name)
		}
	}
	s.floor = floor.GroupFloor((s.view*7+9)/10, s.view, len(s.group)+1)
	s.ledger.Restrict(names)
}

// request requests leases from the whole group. One call in ten is lost on its way, and one answer.
func (f *groupedFleet) request(s *groupedServer) int {
	for _, other := range s.group {
		r := s.ledger.NewRequest(other.name)
		const lostOneIn = 10
		if f.random.IntN(lostOneIn) == 0 {
			continue
		}
		refusal := other.ledger.Answer(f.now, r)
		switch {
		case f.random.IntN(lostOneIn) == 0:
		case refusal == floor.Granted:
			s.ledger.RecordGrant(r.Number, other.name, f.now)
		default:
			s.ledger.RecordRefusal(f.now, r.Number, other.name, refusal)
		}
	}
	return len(s.group)
}

func (f *groupedFleet) release(s *groupedServer, releases map[string]floor.Release) {
	for _, other := range s.group {
		if r, ok := releases[other.name]; ok {
			other.ledger.RecordRelease(r)
		}
	}
}

// trim releases the leases beyond the floor, those of sick backend servers first.
func (f *groupedFleet) trim(s *groupedServer) {
	healthy := func(name string) bool {
		return !slices.ContainsFunc(s.group, func(other *groupedServer) bool { return other.name == name && other.sick })
	}
	f.release(s, s.ledger.ReleaseSurplus(f.now, s.floor, healthy))
}

// step lets one sidecar act, and returns how many calls it made.
func (f *groupedFleet) step(s *groupedServer) int {
	const restartOneIn, learnOneIn, recoverOneIn, sickenOneIn = 400, 50, 30, 200
	switch {
	case f.random.IntN(restartOneIn) == 0:
		f.start(s)
	case f.random.IntN(learnOneIn) == 0:
		f.learn(s)
	case s.sick:
		s.sick = f.random.IntN(recoverOneIn) > 0
	default:
		s.sick = f.random.IntN(sickenOneIn) == 0
	}
	switch {
	case s.ledger.MayStayEjected(f.now, s.floor) && s.sick:
		calls := f.request(s)
		f.trim(s)
		return calls
	case s.ledger.MayStayEjected(f.now, s.floor):
		f.release(s, s.ledger.ReleaseAll())
	case s.sick && s.ledger.BeginRequesting(f.now, f.random.Float64()):
		calls := f.request(s)
		if s.ledger.Eject(f.now, s.floor) {
			f.trim(s)
		} else {
			f.release(s, s.ledger.ReleaseAll())
		}
		return calls
	}
	return 0
}

// inService returns how many backend servers are not ejected.
func (f *groupedFleet) inService() int {
	count := 0
	for _, s := range f.servers {
		if !s.ledger.MayStayEjected(f.now, s.floor) {
			count++
		}
	}
	return count
}

// TestGroupsKeepTheFloor guards against ejections below the floor of a large service whose sidecars
// know different backend servers, lose messages and restart.
func TestGroupsKeepTheFloor(t *testing.T) {
	for seed := range uint64(4) {
		f := newGroupedFleet(seed)
		least, most := groupedServers, 0
		const steps = 20_000
		for range steps {
			s := f.servers[f.random.IntN(groupedServers)]
			calls := f.step(s)
			most = max(most, calls)
			f.now = f.now.Add(time.Duration(f.random.IntN(2)) * time.Millisecond)
			least = min(least, f.inService())
		}
		// A sidecar keeps the floor of those that it knows.
		if want := (smallestView*7 + 9) / 10; least < want {
			t.Errorf("seed %d: %d backend servers in service, want at least %d", seed, least, want)
		}
		if permitted := groupedServers - groupedServers/20; least > permitted {
			t.Errorf("seed %d: at least %d backend servers always stayed in service; the groups permit too few ejections", seed, least)
		}
		if most > 2*floor.MaxGroupSize {
			t.Errorf("seed %d: an attempt made %d calls", seed, most)
		}
	}
}
