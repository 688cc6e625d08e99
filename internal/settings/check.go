package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/internal/yamlfile"
)

// minDescriptors leaves some for each listener, the store and other daemons.
const minDescriptors = 128

// check collects all problems of the settings.
func (s *Settings) check(c *yamlfile.Checker) error {
	required(c, "$.name", s.Name, "the name of a declared host")
	required(c, "$.data-centre", s.DataCentre, "the name of a data centre")
	s.Listen.check(c)
	platform(c, s.Platform.Address)
	s.Source.check(c)
	s.Keys.check(c, s.Listen)
	for i, seed := range s.Seeds {
		address(c, fmt.Sprintf("$.seeds[%d]", i), seed)
	}
	s.LongRequests.check(c)
	s.Limits.check(c)
	if s.Processors < 1 {
		c.Add("$.processors", fmt.Sprintf("is %d", s.Processors), "1 or more")
	}
	if s.HeapGrowth < 1 {
		c.Add("$.heap-growth", fmt.Sprintf("is %d", s.HeapGrowth), "1 or more")
	}
	s.Log.check(c)
	s.Experiments.check(c)
	if s.Listen.Registrations != "" && s.Listen.Registrations == s.Listen.Ready {
		c.Add("$.listen.ready", fmt.Sprintf("is %q, as check-ins is", s.Listen.Ready), "an address of its own")
	}
	return c.Err()
}

func (l Listen) check(c *yamlfile.Checker) {
	address(c, "$.listen.callers", l.Callers)
	address(c, "$.listen.peers", l.Peers)
	address(c, "$.listen.control", l.Control)
	address(c, "$.listen.operators", l.Operators)
	if l.Registrations != "" {
		address(c, "$.listen.check-ins", l.Registrations)
	}
	if l.Ready != "" {
		address(c, "$.listen.ready", l.Ready)
	}
}

func (l LongRequests) check(c *yamlfile.Checker) {
	notNegative(c, "$.long-requests.latency-target", l.LatencyTarget)
	if l.Pipelined < 0 {
		c.Add("$.long-requests.pipelined", fmt.Sprintf("is %d", l.Pipelined), "0 or more")
	}
}

func (l Limits) check(c *yamlfile.Checker) {
	positive(c, "$.limits.stop", l.Stop)
	if l.Unready < 0 || l.Stop > 0 && l.Unready >= l.Stop {
		c.Add("$.limits.unready", fmt.Sprintf("is %s", l.Unready), fmt.Sprintf("0s or more, and less than stop, which is %s", l.Stop))
	}
	positive(c, "$.limits.header-timeout", l.HeaderTimeout)
	positive(c, "$.limits.idle-timeout", l.IdleTimeout)
	if l.HeaderBytes < 1024 {
		c.Add("$.limits.header-bytes", fmt.Sprintf("is %d", l.HeaderBytes), "1024 or more")
	}
	if l.Descriptors != 0 && l.Descriptors < minDescriptors {
		c.Add("$.limits.descriptors", fmt.Sprintf("is %d", l.Descriptors), fmt.Sprintf("0, or %d or more", minDescriptors))
	}
	if l.MemoryMB < 0 {
		c.Add("$.limits.memory-mb", fmt.Sprintf("is %d", l.MemoryMB), "0 or more")
	}
}

func (l Log) check(c *yamlfile.Checker) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		c.Add("$.log.level", fmt.Sprintf("is %q", l.Level), "debug, info, warn or error")
	}
	if l.PerSecond < 0 {
		c.Add("$.log.per-second", fmt.Sprintf("is %d", l.PerSecond), "1 or more, or left out")
	}
}

func (e Experiments) check(c *yamlfile.Checker) {
	for i, m := range e.Off {
		if !slices.Contains(experiment.All(), m) {
			c.Add(fmt.Sprintf("$.experiments.off[%d]", i), fmt.Sprintf("is %q", m), fmt.Sprintf("one of %v", experiment.All()))
		}
	}
}

func (s Source) check(c *yamlfile.Checker) {
	if s.Declared != DeclaredByOperators && s.Declared != DeclaredByPlatform {
		c.Add("$.source.declared", fmt.Sprintf("is %q", s.Declared), "operators or platform")
	}
	share(c, "$.source.floor-share", s.FloorShare)
	share(c, "$.source.retry-share", s.RetryShare)
	if s.RetrySlack < 0 {
		c.Add("$.source.retry-slack", fmt.Sprintf("is %g", s.RetrySlack), "0 or more")
	}
	positive(c, "$.source.retry-window", s.RetryWindow)
}

func share(c *yamlfile.Checker, path string, value float64) {
	if value < 0 || value > 1 {
		c.Add(path, fmt.Sprintf("is %g", value), "0 to 1")
	}
}

func (k Keys) check(c *yamlfile.Checker, listen Listen) {
	if some := k.Certificate + k.Key + k.Authority; some != "" && (k.Certificate == "" || k.Key == "" || k.Authority == "") {
		c.Add("$.keys", "names some of certificate, key and authority", "all three or none")
	}
	if !k.MutualTLS() && !k.TrustedNetwork && !isLoopback(listen.Control) {
		c.Add("$.listen.control", fmt.Sprintf("is %q without certificates", listen.Control), "a loopback address, keys.certificate, keys.key and keys.authority, or keys.trusted-network")
	}
	if k.Tokens == "" && !isLoopback(listen.Operators) {
		c.Add("$.listen.operators", fmt.Sprintf("is %q without tokens", listen.Operators), "a loopback address, or keys.tokens")
	}
}

// isLoopback reports whether the address is on loopback. It returns true for an address that cannot be parsed, which
// the function address reports.
func isLoopback(value string) bool {
	parsed, err := netip.ParseAddrPort(value)
	return err != nil || parsed.Addr().IsLoopback()
}

func required(c *yamlfile.Checker, path, value, want string) {
	if value == "" {
		c.Add(path, "is missing", want)
	}
}

// address checks an address on which daemons listen.
func address(c *yamlfile.Checker, path, value string) { c.CheckAddress(path, value, "127.0.0.1:7400") }

func positive(c *yamlfile.Checker, path string, value time.Duration) {
	if value < 0 {
		c.Add(path, "is "+value.String(), "a duration above zero such as 30s")
	}
}

func notNegative(c *yamlfile.Checker, path string, value time.Duration) {
	if value < 0 {
		c.Add(path, "is "+value.String(), "0s or more")
	}
}

func platform(c *yamlfile.Checker, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme == "" || u.Host == "" {
		c.Add("$.platform.address", fmt.Sprintf("is %q", value), "a URL such as http://127.0.0.1:8500")
	}
}
