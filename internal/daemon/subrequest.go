package daemon

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/subrequest"
)

// maxServiceTold bounds how many hosts of a service are told what one of them has found out. Source: a
// service has 43 backend servers in the mean at the size to design for; whoever is not told finds it out
// itself, or asks.
const maxServiceTold = 64

// tellSubrequest tells the other hosts of this one's service what was seen of routes that its
// backend servers may call. One that does not hear it finds it out itself.
func (d *daemon) tellSubrequest(seen []subrequest.Evidence) {
	told := control.Subrequest{Service: d.config.Settings.Service, Seen: seen}
	for _, host := range d.hostsOfService(told.Service) {
		go d.tellSubrequestTo(host, told)
	}
}

// tellSubrequestTo tells one host, and learns from it what it knows already.
func (d *daemon) tellSubrequestTo(host fleet.Host, told control.Subrequest) {
	ctx, cancel := context.WithTimeout(context.Background(), control.NotifyTimeout)
	defer cancel()
	var known control.SubrequestResponse
	if err := d.peers.CallLogged(ctx, d.peers.Address(host), control.MethodSubrequest, told, &known); err != nil {
		return
	}
	d.ingress.MarkSubrequestRoutes(known.Routes)
}

// hostsOfService returns the other hosts with a backend server of the service, up to
// maxServiceTold, from one on that is drawn at random.
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
		told := slices.ContainsFunc(hosts, func(h fleet.Host) bool { return h.Name == b.Host })
		if known && !told && b.Host != d.config.Settings.Name && len(hosts) < maxServiceTold {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
