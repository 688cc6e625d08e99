// Command 5 shows who is served once an operator has taken the last tenant out of the desired state.
//
// Three clients send requests to a route that is not public: one with a key that the tenant held, one with a key that was
// never held, and one without a key that names the tenant itself.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/tideliftd/tidelift/review/rig"
)

const (
	deadline = 2 * time.Second
	heldKey  = "a828m82thhkmgjqnirth"
	noKey    = "zzzzzzzzzzzzzzzzzzzz"
	rounds   = 10 // requests of each client
	// applied exceeds config-apply-s, by which a version is in force.
	applied = 4 * time.Second
)

func main() {
	daemon := flag.String("daemon", "target/tideliftd", "the daemon")
	upstream := flag.String("upstream", "target/review/upstream", "the stand-in for an upstream")
	record := flag.String("record", "review/5/record.txt", "what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the tenant is taken out")
	flag.Parse()
	code, err := run(rig.Config{Hosts: 2, Capacity: 4, Daemon: *daemon, Upstream: *upstream, Record: *record}, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = rig.ExitNotShown
	}
	os.Exit(code)
}

// run plays the case and returns the exit code.
func run(config rig.Config, trouble bool) (int, error) {
	r, err := rig.New(config)
	if err != nil {
		return rig.ExitNotShown, err
	}
	defer r.End()
	if err := r.WriteDesired(desired(1, tenant())); err != nil {
		return rig.ExitNotShown, err
	}
	if err := r.Start(); err != nil {
		return rig.ExitNotShown, err
	}
	held := r.Hosts[0].Send(request(r, "Authorization: Bearer "+heldKey+"\r\n"))
	if held.Status != 200 {
		return rig.ExitNotShown, fmt.Errorf("the tenant's own key gets: %s", held)
	}
	tenants := []any{tenant()}
	if trouble {
		tenants = []any{}
	}
	if err := r.WriteDesired(desired(2, tenants...)); err != nil {
		return rig.ExitNotShown, err
	}
	time.Sleep(applied)
	broken := send(r, "a key that was never held", "Authorization: Bearer "+noKey+"\r\n")
	broken += send(r, "no key, and the tenant's name", "Tenant: hule930\r\n")
	if trouble {
		broken += send(r, "the key that was taken away", "Authorization: Bearer "+heldKey+"\r\n")
	}
	verdict := fmt.Sprintf("%d requests without a valid key were run", broken)
	fmt.Println(verdict)
	r.Log("%s", verdict)
	if broken > 0 {
		return rig.ExitBroken, nil
	}
	return rig.ExitHeld, nil
}

// desired returns a desired state with the tenants, whose routes are not public.
func desired(version int, tenants ...any) map[string]any {
	state := rig.Desired(version)
	state["tenants"] = tenants
	return state
}

func tenant() any {
	return map[string]any{"name": "hule930", "api-keys": []string{heldKey}, "priority": 1, "rate-per-s": 185, "burst": 185}
}

func request(r *rig.Rig, headers string) rig.Request {
	return rig.Request{ID: r.NextID(), Method: "POST", Path: "/once/hold", Headers: headers, Deadline: deadline}
}

// send sends requests with the headers and returns how many were run.
func send(r *rig.Rig, client, headers string) int {
	run := 0
	for n := range rounds {
		q := request(r, headers)
		answer := r.Hosts[n%len(r.Hosts)].Send(q)
		time.Sleep(20 * time.Millisecond) // the upstream's line is read
		if len(r.Runs(q.ID)) > 0 {
			run++
		}
		r.Log("client with %s: %s run %d times, %s", client, q.ID, len(r.Runs(q.ID)), answer)
	}
	return run
}
