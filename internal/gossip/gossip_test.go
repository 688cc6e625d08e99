package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func hosts(dataCentres, each int) []fleet.Host {
	all := make([]fleet.Host, 0, dataCentres*each)
	for d := range dataCentres {
		for h := range each {
			all = append(all, fleet.Host{Name: fmt.Sprintf("dc%d-%d", d, h), DataCentre: fmt.Sprintf("dc%d", d)})
		}
	}
	return all
}

func plans(all []fleet.Host, seed uint64) map[string]*gossip.Plan {
	random := rand.New(rand.NewPCG(seed, 1))
	made := make(map[string]*gossip.Plan)
	for _, h := range all {
		made[h.Name] = gossip.NewPlan(gossip.Config{Host: h.Name, DataCentre: h.DataCentre, Random: random.Uint64}, all)
	}
	return made
}

func TestFewWatchInEachDataCentre(t *testing.T) {
	all := hosts(15, 40)
	watchers := 0
	for name, plan := range plans(all, 1) {
		if plan.Watches(epoch, epoch) {
			watchers++
		}
		if !plan.Watches(epoch, epoch.Add(2*gossip.StaleAfter)) {
			t.Fatalf("%s does not watch although the last known answer of the platform is stale", name)
		}
	}
	if watchers != 15*gossip.WatchersPerDataCentre {
		t.Fatalf("%d daemons are watchers", watchers)
	}
}

// TestRevisionReachesAll guards against revisions that spread too slowly or to too
// few daemons when one notification in five is lost and polls supply the rest.
func TestRevisionReachesAll(t *testing.T) {
	all := hosts(15, 40)
	for seed := range uint64(5) {
		made := plans(all, seed)
		random := rand.New(rand.NewPCG(seed, 2))
		known := map[string]bool{"dc0-0": true}
		frontier := []string{"dc0-0"}
		steps := 0
		for ; len(frontier) > 0; steps++ {
			var next []string
			for _, name := range frontier {
				for _, other := range made[name].NotifyTargets() {
					if random.IntN(5) > 0 && !known[other.Name] {
						known[other.Name] = true
						next = append(next, other.Name)
					}
				}
			}
			frontier = next
		}
		missed := len(all) - len(known)
		if steps > 16 || missed > len(all)/20 {
			t.Fatalf("seed %d: %d steps, %d of %d missed", seed, steps, missed, len(all))
		}
		rounds := 0
		for ; len(known) < len(all) && rounds < 10; rounds++ {
			for _, h := range all {
				if other, ok := made[h.Name].PollTarget(); ok && known[other.Name] {
					known[h.Name] = true
				}
			}
		}
		if rounds > 2 {
			t.Fatalf("seed %d: %d rounds of polling", seed, rounds)
		}
	}
}

// TestConfirmationsReachNearlyAll guards against daemons that do not hear of the answers to the only watcher left, and
// watch the platform themselves.
func TestConfirmationsReachNearlyAll(t *testing.T) {
	const answers = 200
	for _, each := range []int{8, 30, 200, 1000} {
		all := hosts(1, each)
		made := plans(all, 1)
		missed := make(map[string]int) // consecutive answers that a daemon did not hear of
		stale := 0
		for range answers {
			heard := map[string]bool{"dc0-0": true}
			for frontier := []string{"dc0-0"}; len(frontier) > 0; {
				name := frontier[0]
				frontier = frontier[1:]
				for _, other := range made[name].ConfirmTargets() {
					if !heard[other.Name] {
						heard[other.Name] = true
						frontier = append(frontier, other.Name)
					}
				}
			}
			for _, h := range all {
				missed[h.Name]++
				if heard[h.Name] {
					missed[h.Name] = 0
				}
				if missed[h.Name] == 2 {
					stale++
				}
			}
		}
		if share := float64(stale) / float64(answers*each); share > 0.01 {
			t.Errorf("%d hosts: two answers in a row are missed at %.3f of the answers", each, share)
		}
	}
}

func TestSingleHostHasNoTargets(t *testing.T) {
	plan := plans(hosts(1, 1), 1)["dc0-0"]
	if _, ok := plan.PollTarget(); ok || len(plan.NotifyTargets()) != 0 || !plan.Watches(epoch, epoch) {
		t.Fatal("a single daemon has peers, or does not watch")
	}
}

// TestPollsKeepToAFewHosts guards against a daemon that polls, and so keeps connections to, more hosts
// the larger the fleet is.
func TestPollsKeepToAFewHosts(t *testing.T) {
	for _, each := range []int{20, 200, 1000} {
		random := rand.New(rand.NewPCG(1, 1))
		plan := gossip.NewPlan(gossip.Config{Host: "dc0-0", DataCentre: "dc0", Random: random.Uint64}, hosts(5, each))
		polled := make(map[string]bool)
		for range 10_000 {
			host, ok := plan.PollTarget()
			if !ok {
				t.Fatal("no host is polled")
			}
			polled[host.Name] = true
		}
		const most = 10
		if len(polled) > most {
			t.Errorf("%d hosts in each data centre: %d are polled, want at most %d", each, len(polled), most)
		}
	}
}

// TestFewCompareHostsWithOtherDataCentres guards against daemons that each receive the records of all
// other data centres from there, which is as many as the square of the hosts.
func TestFewCompareHostsWithOtherDataCentres(t *testing.T) {
	const dataCentres = 5
	for _, each := range []int{20, 60, 200, 1000} {
		all := hosts(dataCentres, each)
		relays := 0
		reached := make(map[string]bool) // pairs of data centres that are compared
		for name, plan := range plans(all, 1) {
			if !plan.IsRelay() {
				continue
			}
			relays++
			for range 1000 {
				if other, ok := plan.PollTarget(); ok {
					reached[name[:len("dc0")]+other.DataCentre] = true
				}
			}
		}
		if relays != dataCentres*gossip.RelaysPerDataCentre {
			t.Errorf("%d hosts in each data centre: %d relays", each, relays)
		}
		if len(reached) != dataCentres*dataCentres {
			t.Errorf("%d hosts in each data centre: relays poll %d of %d pairs of data centres", each, len(reached), dataCentres*dataCentres)
		}
	}
}
