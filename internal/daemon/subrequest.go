package daemon

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/subrequest"
)

// maxNotifiedHosts bounds how many hosts of a service are notified of evidence or
// quarantines. A host that is not notified finds out itself or from others.
const maxNotifiedHosts = 64

// sendSubrequestEvidence sends the other hosts of this host's service the evidence of
// routes that its backend servers may call. A host that misses it gathers its own.
func (d *daemon) sendSubrequestEvidence(seen []subrequest.Evidence) {
	evidence := control.Subrequest{Service: d.config.Settings.Service, Seen: seen}
	for _, host := range d.hostsOfService(evidence.Service) {
		go d.sendSubrequestEvidenceTo(host, evidence)
	}
}

// sendSubrequestEvidenceTo sends evidence to one host, and marks the routes that the
// host already knows.
func (d *daemon) sendSubrequestEvidenceTo(host fleet.Host, evidence control.Subrequest) {
	ctx, cancel := context.WithTimeout(context.Background(), control.NotifyTimeout)
	defer cancel()
	var known control.SubrequestResponse
	if err := d.peers.CallLogged(ctx, d.peers.Address(host), control.MethodSubrequest, evidence, &known); err != nil {
		return
	}
	d.ingress.MarkSubrequestRoutes(known.Routes)
}

// hostsOfService returns up to maxNotifiedHosts other hosts with a backend server of
// the service, starting at a random one.
func (d *daemon) hostsOfService(service string) []fleet.Host {
	index, ok := d.declarations.Index()
	if !ok || service == "" {
		return nil
	}
	declared, _ := index.Service(service)
	count := len(declared.BackendServers)
	var hosts []fleet.Host
	for n, first := 0, rand.IntN(max(1, count)); n < count; n++ {
		b := declared.BackendServers[(first+n)%count]
		host, known := index.Host(b.Host)
		chosen := slices.ContainsFunc(hosts, func(h fleet.Host) bool { return h.Name == b.Host })
		if known && !chosen && b.Host != d.config.Settings.Name && len(hosts) < maxNotifiedHosts {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
