// Package fleet defines what operators declare: hosts, services, their backend
// servers, and the routes from callers' requests to services.
//
// A Declaration is the aggregate. It is checked as a whole and put in force atomically, and it
// is immutable once it has been read. The package owns the format of the declaration, its
// checks and its defaults, and relies on yamlfile for the position of each problem.
// docs/CONFIGURATION.md and the JSON Schema are generated from the field tags.
//
// The types are in fleet.go, the checks of a declaration that operators write in parse.go, the
// completion of one whose backend servers register themselves in complete.go, customers in
// customer.go, and lookups by name in index.go.
//
// # Usage
//
//	declaration, err := fleet.Parse("fleet.yaml", data)
//	if err != nil {
//		return err // a *yamlfile.Error with a line for each problem
//	}
//	index := fleet.NewIndex(declaration)
//	server, ok := index.BackendServer("csepel/lookup-1")
//
// Units: durations are written with their unit (1500ms); floors, slots and queues are counts;
// shares are fractions of one; sizes are in bytes.
package fleet

import "time"

// Adoption is the extent to which tidelift controls a service in a data centre.
type Adoption string

// The levels of adoption.
const (
	// AdoptionOff forwards requests and takes no decisions.
	AdoptionOff Adoption = "off"
	// AdoptionObserve takes and reports decisions without acting on them.
	AdoptionObserve Adoption = "observe"
	// AdoptionSteer takes decisions and acts on them.
	AdoptionSteer Adoption = "steer"
)

// Detection selects how readily a service ejects a backend server.
type Detection string

// The detection settings.
const (
	// DetectionCareful prefers fewer false ejections.
	DetectionCareful Detection = "careful"
	// DetectionSwift prefers faster detection.
	DetectionSwift Detection = "swift"
)

// RetryAfter selects the format of the Retry-After header.
type RetryAfter string

// The formats of Retry-After.
const (
	// RetryAfterSeconds is the standard HTTP format: whole seconds, rounded up.
	RetryAfterSeconds RetryAfter = "seconds"
	// RetryAfterDecimals adds decimals, for callers whose deadlines are short.
	RetryAfterDecimals RetryAfter = "decimals"
)

// Defaults of a declaration.
const (
	// DefaultDeadline is the maximum duration of a request.
	DefaultDeadline = 2 * time.Second
	// DefaultSlots is the number of requests that a backend server runs concurrently,
	// DefaultQueue the number that may wait for a slot.
	DefaultSlots = 10
	DefaultQueue = 20
	// DefaultRetryShare limits retries to a share of the service's requests, and
	// DefaultRetrySlack is the number of further retries by the whole fleet, both in any
	// DefaultRetryWindow (docs/design/0013-retry-limit.md).
	DefaultRetryShare  = 0.1
	DefaultRetrySlack  = 40
	DefaultRetryWindow = 10 * time.Second
	// DefaultAttempts is the maximum number of backend servers that a request is sent to.
	DefaultAttempts = 3
	// DefaultFloorShare is the share of a service's registered backend servers that ejection
	// always leaves in service.
	DefaultFloorShare = 0.7
	// DefaultMaxBody is the maximum size of a request body in bytes.
	DefaultMaxBody = 8 << 20

	DefaultDeadlineHeader = "X-Request-Timeout-Ms"
	DefaultCustomerHeader = "X-Customer"
	DefaultDrainingHeader = "X-Leaving"
)

// targetDivisor is the ratio of a route's deadline to its default latency target.
const targetDivisor = 3

// AnyMethod in a route's idempotent methods matches every method.
const AnyMethod = "*"

// Declaration is everything that operators declare.
type Declaration struct {
	Answers  Answers   `yaml:"answers" json:"answers,omitempty" jsonschema:"description=What the headers between a daemon and its backend servers mean."`
	Callers  Callers   `yaml:"callers" json:"callers,omitempty" jsonschema:"description=What the headers of callers' requests mean."`
	Hosts    []Host    `yaml:"hosts" json:"hosts" jsonschema:"description=The hosts that run a daemon."`
	Services []Service `yaml:"services" json:"services" jsonschema:"description=The services and their backend servers."`
	Routes   []Route   `yaml:"routes" json:"routes" jsonschema:"description=Which requests lead to which service."`
	// Customers is nil if customers are not declared, in which case the customer header is accepted as sent by callers. An
	// empty list means that no key is valid.
	Customers []Customer `yaml:"customers" json:"customers,omitempty" jsonschema:"description=Who may ask and how much. With such a list callers need a key on routes that are not public; with an empty one no key is valid."`
}

// Callers names the headers of callers' requests.
type Callers struct {
	DeadlineHeader string     `yaml:"deadline-header" json:"deadline-header,omitempty" jsonschema:"description=The request header with the time left in milliseconds. Default X-Request-Timeout-Ms."`
	IDHeader       string     `yaml:"id-header" json:"id-header,omitempty" jsonschema:"description=The request header with the request's id, which a backend server repeats in its answer. Without one answers are not checked for it."`
	OriginHeader   string     `yaml:"origin-header" json:"origin-header,omitempty" jsonschema:"description=The header that tells a backend server which service runs on the host where the request began. Callers cannot set it."`
	RetryAfter     RetryAfter `yaml:"retry-after" json:"retry-after,omitempty" jsonschema:"enum=seconds,enum=decimals,description=How Retry-After is written in refusals: in whole seconds or with decimals. Default seconds."`
	CustomerHeader string     `yaml:"customer-header" json:"customer-header,omitempty" jsonschema:"description=The request header that names the customer. Where customers are declared the daemon sets it whatever callers send. Default X-Customer."`
}

// Answers names the headers between a sidecar and its backend servers. An empty name disables
// the header.
type Answers struct {
	// TargetHeader names the backend server that a request is intended for; any
	// other answers 421 and does not run the request.
	TargetHeader string `yaml:"target-header" json:"target-header,omitempty" jsonschema:"description=The request header that names the backend server a request is meant for; another answers 421 without running it."`
	// NotRunHeader marks an answer of a backend server that guarantees that the request was
	// not run.
	NotRunHeader string `yaml:"not-run-header" json:"not-run-header,omitempty" jsonschema:"description=The header of an answer by which a backend server says that it did not run the request."`
	// SignatureHeader is set on every successful answer of a backend server.
	SignatureHeader string `yaml:"signature-header" json:"signature-header,omitempty" jsonschema:"description=The header that every success of a backend server carries; one without it is a failure."`
}

// Part is one service's share of a route's requests.
type Part struct {
	Service string `yaml:"service" json:"service" jsonschema:"description=The service."`
	Weight  int    `yaml:"weight" json:"weight" jsonschema:"description=Its weight beside the other parts'."`
}

// Host is a host that runs a daemon.
type Host struct {
	Name       string `yaml:"name" json:"name" jsonschema:"description=The daemon's name."`
	DataCentre string `yaml:"data-centre" json:"data-centre" jsonschema:"description=The data centre the host stands in."`
	Peers      string `yaml:"peers" json:"peers" jsonschema:"description=IP:port where the daemon takes requests from other daemons."`
	Control    string `yaml:"control" json:"control" jsonschema:"description=IP:port where the daemon takes control calls from other daemons."`
	SeenFrom   []View `yaml:"seen-from" json:"seen-from,omitempty" jsonschema:"description=The host's addresses as other data centres see them where they differ."`
}

// View holds a host's addresses as seen from another data centre, for networks
// that translate addresses.
type View struct {
	DataCentre string `yaml:"data-centre" json:"data-centre" jsonschema:"description=The data centre that sees the host so."`
	Peers      string `yaml:"peers" json:"peers" jsonschema:"description=IP:port in place of peers."`
	Control    string `yaml:"control" json:"control" jsonschema:"description=IP:port in place of control."`
}

// PeersFrom returns the address for requests from the data centre's daemons.
func (h Host) PeersFrom(dataCentre string) string {
	for _, view := range h.SeenFrom {
		if view.DataCentre == dataCentre {
			return view.Peers
		}
	}
	return h.Peers
}

// ControlFrom returns the address for control calls from the data centre's
// daemons.
func (h Host) ControlFrom(dataCentre string) string {
	for _, view := range h.SeenFrom {
		if view.DataCentre == dataCentre {
			return view.Control
		}
	}
	return h.Control
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name           string              `yaml:"name" json:"name" jsonschema:"description=The service's name."`
	Floor          int                 `yaml:"floor" json:"floor" jsonschema:"description=How many backend servers ejecting always leaves able to serve."`
	Deadline       time.Duration       `yaml:"deadline" json:"deadline,omitempty" jsonschema:"type=string,description=The longest a request may take unless the caller says less. Default 2s."`
	Detection      Detection           `yaml:"detection" json:"detection,omitempty" jsonschema:"enum=careful,enum=swift,description=Fewer false ejections or faster detection. Default careful."`
	FloorShare     float64             `yaml:"floor-share" json:"floor-share,omitempty" jsonschema:"description=The floor as a share of the backend servers that registered themselves. Then floor and backend-servers are left out."`
	RetrySlack     float64             `yaml:"retry-slack" json:"retry-slack,omitempty" jsonschema:"description=Retries that the whole fleet may make in a retry-window beyond the share. Default 40."`
	RetryWindow    time.Duration       `yaml:"retry-window" json:"retry-window,omitempty" jsonschema:"type=string,description=The time that retries are counted over. Default 10s."`
	RetryShare     float64             `yaml:"retry-share" json:"retry-share,omitempty" jsonschema:"description=Retries as a share of the service's requests. Default 0.1."`
	LimitHeader    string              `yaml:"limit-header" json:"limit-header,omitempty" jsonschema:"description=The header of an answer by which a backend server names how many requests a second it takes from all hosts together. Default none."`
	DrainingHeader string              `yaml:"leaving-header" json:"leaving-header,omitempty" jsonschema:"description=The header of an answer by which a backend server says that it is leaving. Default X-Leaving."`
	ColdStart      time.Duration       `yaml:"cold-start" json:"cold-start,omitempty" jsonschema:"type=string,description=How long a backend server counts as cold after its start unless it says otherwise."`
	ColdRate       float64             `yaml:"cold-rate" json:"cold-rate,omitempty" jsonschema:"description=Requests a second that a cold backend server is sent at most. Default 0 for no limit."`
	Adoption       map[string]Adoption `yaml:"adoption" json:"adoption,omitempty" jsonschema:"description=off or observe or steer by data centre; steer where a data centre is not named."`
	BackendServers []BackendServer     `yaml:"backend-servers" json:"backend-servers" jsonschema:"description=The service's backend servers."`
}

// BackendServer is one process that runs a service's requests.
type BackendServer struct {
	Name    string `yaml:"name" json:"name" jsonschema:"description=The backend server's name in the whole fleet."`
	Host    string `yaml:"host" json:"host" jsonschema:"description=The host whose daemon alone sends it work."`
	Address string `yaml:"address" json:"address" jsonschema:"description=IP:port where it takes requests."`
	Slots   int    `yaml:"slots" json:"slots,omitempty" jsonschema:"description=Requests it runs at once. Default 10."`
	Queue   int    `yaml:"queue" json:"queue,omitempty" jsonschema:"description=Requests that may wait for a slot. Default 20."`
}

// Route maps requests to a service.
type Route struct {
	Host       string        `yaml:"host" json:"host,omitempty" jsonschema:"description=The host name the caller asks for; empty means any."`
	Path       string        `yaml:"path" json:"path,omitempty" jsonschema:"description=What the path begins with as it is sent; a slash at the end is part of it. / means any. Default /."`
	Service    string        `yaml:"service" json:"service" jsonschema:"description=The service that answers."`
	Idempotent []string      `yaml:"repeatable" json:"repeatable,omitempty" jsonschema:"description=The methods that may run more than once; * means any. Default GET and HEAD and OPTIONS. An empty list means none."`
	Split      []Part        `yaml:"split" json:"split,omitempty" jsonschema:"description=Several services that share the route's requests by weight in place of service."`
	Attempts   int           `yaml:"attempts" json:"attempts,omitempty" jsonschema:"description=The most backend servers that one request may be sent to. Default 3."`
	Target     time.Duration `yaml:"target" json:"target,omitempty" jsonschema:"type=string,description=The time within which an answer is worth most. Default a third of the deadline."`
	Priority   int           `yaml:"priority" json:"priority,omitempty" jsonschema:"description=The rank in a queue; 0 is served first."`
	Deadline   time.Duration `yaml:"deadline" json:"deadline,omitempty" jsonschema:"type=string,description=The longest a request on this route may take. Default the service's."`
	Public     bool          `yaml:"public" json:"public,omitempty" jsonschema:"description=Callers need no key."`
	MaxBody    int64         `yaml:"max-body" json:"max-body,omitempty" jsonschema:"description=The largest request body in bytes. Default 8388608."`
}

// AdoptionIn returns the service's adoption in the data centre; the default is steer.
func (s Service) AdoptionIn(dataCentre string) Adoption {
	if adoption, ok := s.Adoption[dataCentre]; ok {
		return adoption
	}
	return AdoptionSteer
}

// setDefaults sets the fields that the operator omitted.
func (d *Declaration) setDefaults() {
	if d.Callers.DeadlineHeader == "" {
		d.Callers.DeadlineHeader = DefaultDeadlineHeader
	}
	if d.Callers.CustomerHeader == "" {
		d.Callers.CustomerHeader = DefaultCustomerHeader
	}
	if d.Callers.RetryAfter == "" {
		d.Callers.RetryAfter = RetryAfterSeconds
	}
	for i := range d.Services {
		d.Services[i].setDefaults()
	}
	deadlines := make(map[string]time.Duration, len(d.Services))
	for _, s := range d.Services {
		deadlines[s.Name] = s.Deadline
	}
	for i := range d.Routes {
		d.Routes[i].setDefaults(deadlines)
	}
}

func (s *Service) setDefaults() {
	if s.Deadline == 0 {
		s.Deadline = DefaultDeadline
	}
	if s.Detection == "" {
		s.Detection = DetectionCareful
	}
	if s.DrainingHeader == "" {
		s.DrainingHeader = DefaultDrainingHeader
	}
	if s.RetryShare == 0 {
		s.RetryShare = DefaultRetryShare
	}
	if s.RetrySlack == 0 {
		s.RetrySlack = DefaultRetrySlack
	}
	if s.RetryWindow == 0 {
		s.RetryWindow = DefaultRetryWindow
	}
	for i := range s.BackendServers {
		server := &s.BackendServers[i]
		if server.Slots == 0 {
			server.Slots = DefaultSlots
		}
		if server.Queue == 0 {
			server.Queue = DefaultQueue
		}
	}
}

func (r *Route) setDefaults(deadlines map[string]time.Duration) {
	if r.Path == "" {
		r.Path = "/"
	}
	if r.Idempotent == nil {
		r.Idempotent = []string{"GET", "HEAD", "OPTIONS"}
	}
	if r.Deadline == 0 {
		r.Deadline = deadlines[r.Service]
	}
	if r.MaxBody == 0 {
		r.MaxBody = DefaultMaxBody
	}
	if r.Attempts == 0 {
		r.Attempts = DefaultAttempts
	}
	if r.Target == 0 {
		r.Target = r.Deadline / targetDivisor
	}
}
