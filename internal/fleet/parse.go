package fleet

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/tideliftd/tidelift/internal/yamlfile"
)

// Limits of a declaration, which catch mistyped values.
const (
	maxSlots = 10_000
	maxQueue = 100_000
	// maxDeadline limits deadlines, since a planned stop waits that long for requests unless the
	// settings say otherwise.
	maxDeadline = 30 * time.Second
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._/-]{0,127}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
)

// Parse parses a declaration, sets the defaults and checks it as a whole.
// The error is a *yamlfile.Error with the line of each problem.
func Parse(file string, data []byte) (Declaration, error) {
	var d Declaration
	if err := yamlfile.Decode(file, data, &d); err != nil {
		return Declaration{}, err
	}
	d.setDefaults()
	c := check{Checker: yamlfile.NewChecker(file, data)}
	c.callers(d.Callers)
	c.hosts(d.Hosts)
	c.services(d.Services)
	c.routes(d.Routes)
	checkCustomers(d.Customers, c.Add)
	if err := c.Err(); err != nil {
		return Declaration{}, err
	}
	return d, nil
}

// check is the state of a check of a declaration.
type check struct {
	*yamlfile.Checker
	hostNames    map[string]Host
	serviceNames map[string]bool
	serverNames  map[string]bool
}

func (c *check) callers(callers Callers) {
	if callers.RetryAfter != RetryAfterSeconds && callers.RetryAfter != RetryAfterDecimals {
		c.Add("$.callers.retry-after", fmt.Sprintf("is %q", callers.RetryAfter), "seconds or decimals")
	}
}

func (c *check) hosts(hosts []Host) {
	c.hostNames = make(map[string]Host, len(hosts))
	if len(hosts) == 0 {
		c.Add("$.hosts", "is empty", "at least one host")
	}
	for i, h := range hosts {
		path := fmt.Sprintf("$.hosts[%d]", i)
		c.name(path+".name", h.Name)
		c.name(path+".data-centre", h.DataCentre)
		c.address(path+".peers", h.Peers)
		c.address(path+".control", h.Control)
		for j, view := range h.SeenFrom {
			c.address(fmt.Sprintf("%s.seen-from[%d].peers", path, j), view.Peers)
			c.address(fmt.Sprintf("%s.seen-from[%d].control", path, j), view.Control)
		}
		if _, ok := c.hostNames[h.Name]; ok {
			c.Add(path+".name", fmt.Sprintf("%q stands twice", h.Name), "each host once")
		}
		c.hostNames[h.Name] = h
	}
}

func (c *check) services(services []Service) {
	c.serviceNames = make(map[string]bool, len(services))
	c.serverNames = make(map[string]bool)
	if len(services) == 0 {
		c.Add("$.services", "is empty", "at least one service")
	}
	for i, s := range services {
		path := fmt.Sprintf("$.services[%d]", i)
		if c.serviceNames[s.Name] {
			c.Add(path+".name", fmt.Sprintf("%q stands twice", s.Name), "each service once")
		}
		c.serviceNames[s.Name] = true
		c.service(path, s)
	}
}

func (c *check) service(path string, s Service) {
	c.name(path+".name", s.Name)
	count := len(s.BackendServers)
	if count == 0 {
		c.Add(path+".backend-servers", "is empty", "at least one backend server")
	}
	if s.Floor < 1 || s.Floor > count {
		c.Add(path+".floor", fmt.Sprintf("is %d", s.Floor), fmt.Sprintf("1 to %d, the number of backend servers", count))
	}
	if s.Deadline < 0 || s.Deadline > maxDeadline {
		c.Add(path+".deadline", fmt.Sprintf("is %s", s.Deadline), fmt.Sprintf("more than 0s and at most %s", maxDeadline))
	}
	if s.Detection != DetectionCareful && s.Detection != DetectionSwift {
		c.Add(path+".detection", fmt.Sprintf("is %q", s.Detection), "careful or swift")
	}
	if s.RetryShare < 0 || s.RetryShare > 1 {
		c.Add(path+".retry-share", fmt.Sprintf("is %g", s.RetryShare), "0 to 1")
	}
	c.adoption(path, s)
	for j, server := range s.BackendServers {
		c.backendServer(fmt.Sprintf("%s.backend-servers[%d]", path, j), server)
	}
}

func (c *check) adoption(path string, s Service) {
	known := []Adoption{AdoptionOff, AdoptionObserve, AdoptionSteer}
	for dataCentre, adoption := range s.Adoption {
		if !slices.Contains(known, adoption) {
			c.Add(path+".adoption."+dataCentre, fmt.Sprintf("is %q", adoption), "off, observe or steer")
		}
		if !c.knownDataCentre(dataCentre) {
			c.Add(path+".adoption", fmt.Sprintf("names data centre %q, which no host is in", dataCentre), "the data centre of a declared host")
		}
	}
}

func (c *check) knownDataCentre(name string) bool {
	for _, h := range c.hostNames {
		if h.DataCentre == name {
			return true
		}
	}
	return false
}

func (c *check) backendServer(path string, b BackendServer) {
	c.name(path+".name", b.Name)
	c.address(path+".address", b.Address)
	if c.serverNames[b.Name] {
		c.Add(path+".name", fmt.Sprintf("%q stands twice", b.Name), "each backend server once in the fleet")
	}
	c.serverNames[b.Name] = true
	if _, ok := c.hostNames[b.Host]; !ok {
		c.Add(path+".host", fmt.Sprintf("is %q, which is not declared", b.Host), "the name of a declared host")
	}
	if b.Slots < 1 || b.Slots > maxSlots {
		c.Add(path+".slots", fmt.Sprintf("is %d", b.Slots), fmt.Sprintf("1 to %d", maxSlots))
	}
	if b.Queue < 1 || b.Queue > maxQueue {
		c.Add(path+".queue", fmt.Sprintf("is %d", b.Queue), fmt.Sprintf("1 to %d", maxQueue))
	}
}

func (c *check) routes(routes []Route) {
	if len(routes) == 0 {
		c.Add("$.routes", "is empty", "at least one route")
	}
	seen := make(map[string]bool, len(routes))
	for i, r := range routes {
		path := fmt.Sprintf("$.routes[%d]", i)
		c.route(path, r)
		key := strings.ToLower(r.Host) + " " + strings.TrimSuffix(EncodePath(r.Path), "/")
		if seen[key] {
			c.Add(path, fmt.Sprintf("overlaps another route of host %q and path %q", r.Host, r.Path), "one route for each host and path")
		}
		seen[key] = true
	}
}

func (c *check) route(path string, r Route) {
	if !c.serviceNames[r.Service] {
		c.Add(path+".service", fmt.Sprintf("is %q, which is not declared", r.Service), "the name of a declared service")
	}
	if !strings.HasPrefix(r.Path, "/") {
		c.Add(path+".path", fmt.Sprintf("is %q", r.Path), "a path that starts with /")
	}
	if r.Deadline < 0 || r.Deadline > maxDeadline {
		c.Add(path+".deadline", fmt.Sprintf("is %s", r.Deadline), fmt.Sprintf("more than 0s and at most %s", maxDeadline))
	}
	if r.MaxBody < 0 {
		c.Add(path+".max-body", fmt.Sprintf("is %d", r.MaxBody), "a number of bytes, 1 or more")
	}
	for j, method := range r.Idempotent {
		if !methodPattern.MatchString(method) {
			c.Add(fmt.Sprintf("%s.repeatable[%d]", path, j), fmt.Sprintf("is %q", method), "a method such as GET")
		}
	}
}

func (c *check) name(path, name string) {
	if namePattern.MatchString(name) {
		return
	}
	c.Add(path, fmt.Sprintf("is %q", name), "1 to 128 of a-z 0-9 . _ / -, starting with a letter or digit")
}

// address checks the address of a daemon or a backend server.
func (c *check) address(path, address string) { c.CheckAddress(path, address, "127.0.0.1:7401") }
