// Package settings reads the settings of one daemon: its name, its addresses, its limits and
// the source of its declaration. What the fleet serves is declared separately, in package fleet.
//
// The package owns the defaults of the settings, except those that apply to a service, which
// belong to package fleet. It relies on yamlfile for reading and for the location of each
// problem. The field tags document the settings file: docs/CONFIGURATION.md and the JSON Schema
// are generated from them.
//
// # Usage
//
//	s, err := settings.Parse("tideliftd.yaml", data)
//	if err != nil {
//		return err // a line for each problem: file, line, field, what is wrong, what would be right
//	}
//
// Units: durations are written with their unit (30s), sizes are in bytes, addresses are
// IP:port.
package settings

import (
	"log/slog"
	"reflect"
	"time"

	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/yamlfile"
)

// Defaults of the settings.
const (
	// DefaultStopLimit equals the longest deadline that a declaration allows, so that a planned stop
	// can finish every request.
	DefaultStopLimit = 30 * time.Second
	// DefaultLogLevel omits the debug events, which are logged for each refusal.
	DefaultLogLevel = "info"
	// DefaultPrefix is the prefix of the keys in the platform's store.
	DefaultPrefix = "tidelift"
	// DefaultMaxHeader, in bytes, leaves room for cookies and tokens of several kilobytes.
	DefaultMaxHeader = 32 << 10
	// DefaultHeaderTimeout allows for many round trips of a slow caller, and bounds how long a
	// silent caller holds a connection.
	DefaultHeaderTimeout = 5 * time.Second
	// DefaultIdleTimeout keeps a caller's connection open between requests sent a few times a
	// minute.
	DefaultIdleTimeout = 60 * time.Second
	// DefaultProcessors is the number of processors that a daemon uses. It shares its host with
	// the backend servers.
	DefaultProcessors = 2
	// DefaultHeapGrowth, in percent, allows the heap to grow to five times the live heap before
	// a collection. A daemon's live heap is small, so that with thousands of requests a second
	// Go's default of 100 percent would run many collections a second.
	DefaultHeapGrowth = 400
)

// Settings is a daemon's complete settings file.
type Settings struct {
	Name         string       `yaml:"name" json:"name" jsonschema:"description=The daemon's name; the declaration's host of the same name."`
	Service      string       `yaml:"service" json:"service,omitempty" jsonschema:"description=The service of the applications on this host, whose own requests begin here."`
	DataCentre   string       `yaml:"data-centre" json:"data-centre" jsonschema:"description=The data centre the host stands in."`
	Listen       Listen       `yaml:"listen" json:"listen" jsonschema:"description=Where the daemon listens."`
	Platform     Platform     `yaml:"platform" json:"platform" jsonschema:"description=The platform's key-value service."`
	Seeds        []string     `yaml:"seeds" json:"seeds,omitempty" jsonschema:"description=Control addresses of a few daemons in several data centres. A daemon that starts while the platform does not answer asks them for the declaration."`
	Keys         Keys         `yaml:"keys" json:"keys,omitempty" jsonschema:"description=What daemons and operators prove themselves with. Without them control calls and operators are taken on loopback only."`
	FirstStart   bool         `yaml:"first-start" json:"first-start,omitempty" jsonschema:"description=This is the first start of the whole fleet: no daemon has run on any host before. Then what hosts share of the retry limit can be used at once."`
	LongRequests LongRequests `yaml:"long-requests" json:"long-requests,omitempty" jsonschema:"description=Rules for requests with a long latency target. Default none."`
	Limits       Limits       `yaml:"limits" json:"limits,omitempty" jsonschema:"description=Bounds on callers' requests and on a stop."`
	Log          Log          `yaml:"log" json:"log,omitempty" jsonschema:"description=What is logged."`
	Source       Source       `yaml:"source" json:"source,omitempty" jsonschema:"description=Where the declaration and the backend servers come from."`
	Experiments  Experiments  `yaml:"experiments" json:"experiments,omitempty" jsonschema:"description=For measurements alone: mechanisms that are switched off. None of them keeps a promise."`
	Processors   int          `yaml:"processors" json:"processors,omitempty" jsonschema:"description=Processors the daemon uses at once. Default 2."`
	HeapGrowth   int          `yaml:"heap-growth" json:"heap-growth,omitempty" jsonschema:"description=By how many percent the heap may grow before it is collected: less takes less memory and more processor time. Default 400."`
}

// Listen holds the daemon's addresses, each an IP and port.
type Listen struct {
	Callers       string `yaml:"callers" json:"callers" jsonschema:"description=Takes callers' requests."`
	Peers         string `yaml:"peers" json:"peers" jsonschema:"description=Takes requests from other daemons."`
	Control       string `yaml:"control" json:"control" jsonschema:"description=Takes control calls from other daemons."`
	Registrations string `yaml:"check-ins" json:"check-ins,omitempty" jsonschema:"description=Takes the check-ins of this host's backend servers; left out if they are declared."`
	Ready         string `yaml:"ready" json:"ready,omitempty" jsonschema:"description=Answers whether the daemon takes callers' requests; left out if the operators' address is enough."`
	Operators     string `yaml:"operators" json:"operators" jsonschema:"description=Serves the operator API and the metrics page."`
}

// Declared selects the writer of the declaration.
type Declared string

// Who writes the declaration.
const (
	// DeclaredByOperators means that operators apply the declaration through a daemon. It lists
	// hosts and backend servers.
	DeclaredByOperators Declared = "operators"
	// DeclaredByPlatform means that the platform's operator writes the declaration to the store
	// in the platform's format. Hosts and backend servers register themselves.
	DeclaredByPlatform Declared = "platform"
)

// Source holds the source of the declaration, and the values for all services that the
// declaration does not define.
type Source struct {
	Declared    Declared      `yaml:"declared" json:"declared,omitempty" jsonschema:"enum=operators,enum=platform,description=Who writes the declaration: operators through a daemon or the platform to its store. Default operators."`
	FloorShare  float64       `yaml:"floor-share" json:"floor-share,omitempty" jsonschema:"description=The floor of a service whose backend servers register themselves as a share of them. Default 0.7."`
	RetryShare  float64       `yaml:"retry-share" json:"retry-share,omitempty" jsonschema:"description=Retries as a share of a service's requests. Default 0.1."`
	RetrySlack  float64       `yaml:"retry-slack" json:"retry-slack,omitempty" jsonschema:"description=Retries that the whole fleet may make in a retry-window beyond the share. Default 40."`
	RetryWindow time.Duration `yaml:"retry-window" json:"retry-window,omitempty" jsonschema:"type=string,description=The time that retries are counted over. Default 10s."`
}

// Platform locates the platform's key-value store.
type Platform struct {
	Address string `yaml:"address" json:"address" jsonschema:"description=URL of the key-value service such as http://127.0.0.1:8500."`
	Prefix  string `yaml:"prefix" json:"prefix,omitempty" jsonschema:"description=What the names of all keys start with. Default tidelift."`
}

// Keys names the files with certificates and tokens. They are reloaded when they change.
type Keys struct {
	Certificate    string `yaml:"certificate" json:"certificate,omitempty" jsonschema:"description=PEM file with the daemon's certificate for the DNS name tidelift."`
	Key            string `yaml:"key" json:"key,omitempty" jsonschema:"description=PEM file with its key."`
	Authority      string `yaml:"authority" json:"authority,omitempty" jsonschema:"description=PEM file with the authority that signs every daemon's certificate."`
	TrustedNetwork bool   `yaml:"trusted-network" json:"trusted-network,omitempty" jsonschema:"description=Daemons take each other's calls without certificates on every address, since nobody else reaches the network."`
	Tokens         string `yaml:"tokens" json:"tokens,omitempty" jsonschema:"description=YAML file with the operators' tokens as hashes."`
}

// MutualTLS reports whether daemons authenticate each other by certificates.
func (k Keys) MutualTLS() bool { return k.Certificate != "" }

// LongRequests holds the rules for requests with a long latency target. A backend server runs few of
// them a second, so that each one lost counts for more, and waiting behind another one costs a
// large part of the latency target.
type LongRequests struct {
	LatencyTarget time.Duration `yaml:"latency-target" json:"latency-target,omitempty" jsonschema:"type=string,description=A request is long if its route's latency target is at least this. Default 0s: none is."`
	Pipelined     int           `yaml:"pipelined" json:"pipelined,omitempty" jsonschema:"description=How many idempotent long requests that a caller sends ahead on one connection are served at once. Default 0: one after the other."`
}

// Limits bounds what callers may send and how long a stop may take.
type Limits struct {
	Stop          time.Duration `yaml:"stop" json:"stop,omitempty" jsonschema:"type=string,description=How long a planned stop waits for what is in flight. Default 30s."`
	Unready       time.Duration `yaml:"unready" json:"unready,omitempty" jsonschema:"type=string,description=How long a planned stop serves on after the daemon has said that it is not ready\\, so that whoever asks for that sends callers elsewhere first. Default 0s."`
	HeaderBytes   int           `yaml:"header-bytes" json:"header-bytes,omitempty" jsonschema:"description=The largest size of a request's headers. Default 32768."`
	HeaderTimeout time.Duration `yaml:"header-timeout" json:"header-timeout,omitempty" jsonschema:"type=string,description=How long a caller may take to send its headers. Default 5s."`
	IdleTimeout   time.Duration `yaml:"idle-timeout" json:"idle-timeout,omitempty" jsonschema:"type=string,description=How long a caller's idle connection is kept. Default 60s."`
	MemoryMB      int           `yaml:"memory-mb" json:"memory-mb,omitempty" jsonschema:"description=The memory that the host grants the daemon in MB; a quarter of it may hold the bodies of requests\\, and another quarter what callers' connections take. Default 0: bodies are bounded one by one only\\, and connections as if it were 1024."`
	Descriptors   int           `yaml:"descriptors" json:"descriptors,omitempty" jsonschema:"description=How many descriptors the host grants the daemon; three eighths of them may be callers' connections\\, a quarter other daemons'. Default 0: as many as the process may open."`
}

// Log configures logging.
type Log struct {
	PerSecond int    `yaml:"per-second" json:"per-second,omitempty" jsonschema:"description=The most lines of a second; what goes beyond is dropped and counted. Default 500."`
	Level     string `yaml:"level" json:"level,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error,description=The least level that is logged. Default info."`
}

// Experiments names the disabled mechanisms.
type Experiments struct {
	Off experiment.Off `yaml:"off" json:"off,omitempty" jsonschema:"description=Names of mechanisms such as hedges; internal/experiment lists them. Default none."`
}

// Equal reports whether both settings are equal in every field.
func (s Settings) Equal(other Settings) bool { return reflect.DeepEqual(s, other) }

// SlogLevel returns the minimum level that is logged, or info if the level is invalid.
func (l Log) SlogLevel() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return slog.LevelInfo // not reached, since Parse checks the level
	}
	return level
}

// Parse reads settings, applies the defaults and checks them. Its error is a *yamlfile.Error
// with all problems, which name the given file.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	if err := yamlfile.Decode(file, data, &s); err != nil {
		return Settings{}, err
	}
	s.setDefaults()
	if err := s.check(yamlfile.NewChecker(file, data)); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func (s *Settings) setDefaults() {
	if s.Platform.Prefix == "" {
		s.Platform.Prefix = DefaultPrefix
	}
	if s.Limits.Stop == 0 {
		s.Limits.Stop = DefaultStopLimit
	}
	if s.Limits.HeaderBytes == 0 {
		s.Limits.HeaderBytes = DefaultMaxHeader
	}
	if s.Limits.HeaderTimeout == 0 {
		s.Limits.HeaderTimeout = DefaultHeaderTimeout
	}
	if s.Limits.IdleTimeout == 0 {
		s.Limits.IdleTimeout = DefaultIdleTimeout
	}
	if s.Log.Level == "" {
		s.Log.Level = DefaultLogLevel
	}
	if s.Source.Declared == "" {
		s.Source.Declared = DeclaredByOperators
	}
	if s.Source.FloorShare == 0 {
		s.Source.FloorShare = fleet.DefaultFloorShare
	}
	if s.Source.RetryShare == 0 {
		s.Source.RetryShare = fleet.DefaultRetryShare
	}
	if s.Source.RetrySlack == 0 {
		s.Source.RetrySlack = fleet.DefaultRetrySlack
	}
	if s.Source.RetryWindow == 0 {
		s.Source.RetryWindow = fleet.DefaultRetryWindow
	}
	if s.Processors == 0 {
		s.Processors = DefaultProcessors
	}
	if s.HeapGrowth == 0 {
		s.HeapGrowth = DefaultHeapGrowth
	}
}
