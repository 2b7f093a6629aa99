package loader

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"damaskpick.example/damaskpick/internal/findings/collector"
)

// checker validates decoded settings. Checks identify a field by its path; the decoder holds its position in the file.
type checker struct {
	*decoder
	settings Settings
}

func (c *checker) check() {
	s := c.settings
	c.checkName("Node.Name", s.Node.Name)
	if strings.Contains(s.Node.Name, "/") {
		c.add("Node.Name", "must not hold a slash, which separates the incarnation")
	}
	c.checkName("Node.DataCentre", string(s.Node.DataCentre))
	c.checkPlatform()
	c.checkAddresses()
	c.checkEndpoints()
	c.checkCredentials()
	c.checkPolicy()
	c.checkLimits()
	c.checkTimeouts()
	c.checkKeyFiles()
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.add("Log.Level", "must be debug, info, warn or error")
	}
}

// add records a finding at the position of the field or, if the file does not set it, of its closest parent that is set. It skips
// fields that could not be decoded, because they already have a finding.
func (c *checker) add(path, format string, args ...any) {
	ancestor := path
	for {
		if c.undecoded[ancestor] {
			return
		}
		if offset, ok := c.offsets[ancestor]; ok {
			c.findings.Add(offset, path, format, args...)
			return
		}
		ancestor = parent(ancestor)
	}
}

// parent returns the path of the object or list that contains a field.
func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// present reports whether the file sets the field.
func (c *checker) present(path string) bool {
	_, ok := c.offsets[path]
	return ok
}

// required adds a finding if the field is empty, and reports whether it is set.
func (c *checker) required(path string, empty bool) bool {
	if empty {
		c.add(path, "is required")
	}
	return !empty
}

func (c *checker) checkName(path, value string) {
	if !c.required(path, value == "") {
		return
	}
	if reason := collector.CheckName(value); reason != "" {
		c.add(path, "%s", reason)
	}
}

// checkPlatform checks the settings of the platform and the form of all URLs.
func (c *checker) checkPlatform() {
	p := c.settings.Platform
	c.required("Platform.LogURL", p.LogURL == "")
	urls := []struct{ path, value string }{
		{"Platform.LogURL", p.LogURL}, {"Platform.InstancesURL", p.InstancesURL}, {"Platform.WeightsURL", p.WeightsURL},
		{"Listen.PublicURL", c.settings.Listen.PublicURL},
	}
	for _, u := range urls {
		if parsed, err := url.Parse(u.value); u.value != "" && c.present(u.path) &&
			(err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" || parsed.User != nil) {
			c.add(u.path, "must be an http or https URL without user information")
		}
	}
	if c.required("Platform.LogRetention", !c.present("Platform.LogRetention")) {
		checkRange(c, "Platform.LogRetention", p.LogRetention, Duration(time.Minute), Duration(10*365*24*time.Hour))
	}
}

func (c *checker) checkCredentials() {
	seen := map[string]int{}
	for i, credential := range c.settings.Credentials {
		path := fmt.Sprintf("Credentials[%d]", i)
		c.checkHash(path+".SHA256", credential.SHA256)
		if first, ok := seen[credential.SHA256]; ok && credential.SHA256 != "" {
			c.add(path+".SHA256", "is the same hash as Credentials[%d]", first)
		} else {
			seen[credential.SHA256] = i
		}
		switch {
		case credential.Member != "" && credential.Operator != "":
			c.add(path, "must name a Member or an Operator, not both")
		case credential.Member != "":
			c.checkName(path+".Member", string(credential.Member))
		case credential.Operator != "":
			c.checkName(path+".Operator", credential.Operator)
		default:
			c.add(path, "must name a Member or an Operator")
		}
	}
}

func (c *checker) checkHash(path, hash string) {
	if !c.required(path, hash == "") {
		return
	}
	if len(hash) != 64 || strings.Trim(hash, "0123456789abcdef") != "" {
		c.add(path, "must be a SHA-256 in 64 hexadecimal digits")
	}
}

func (c *checker) checkPolicy() {
	p := c.settings.Policy
	if !slices.Contains([]string{"", RoutingLengthAware, RoutingLeastLoaded, RoutingRoundRobin}, p.Routing) {
		c.add("Policy.Routing", "must be %s, %s, %s or empty", RoutingLengthAware, RoutingLeastLoaded, RoutingRoundRobin)
	}
	if _, ok := presetOf(p.Preset); !ok {
		c.add("Policy.Preset", "must be %s, %s or empty", PresetSzelfogo, PresetMagnolia)
	}
	checkRange(c, "Policy.LongPart", p.LongPart, 0, 1)
	checkRange(c, "Policy.PrefillRate", p.PrefillRate, 0, 1e9)
	checkRange(c, "Policy.FirstTokenTimeout", p.FirstTokenTimeout, 0, Duration(time.Hour))
	checkRange(c, "Policy.PrefixBonus", p.PrefixBonus, 0, 1)
	checkRange(c, "Policy.WarmCompletions", p.WarmCompletions, 0, 1_000_000)
	checkRange(c, "Policy.MaxRunning", p.MaxRunning, 0, 1_000_000)
	checkRange(c, "Policy.RetryPart", p.RetryPart, 0, 1)
}

func (c *checker) checkLimits() {
	checkRange(c, "Limits.HeaderBytes", c.settings.Limits.HeaderBytes, 1<<10, 1<<20)
	checkRange(c, "Limits.BodyBytes", c.settings.Limits.BodyBytes, 1<<10, 1<<30)
	checkRange(c, "Limits.HeldBytes", c.settings.Limits.HeldBytes, heldBodies*c.settings.Limits.BodyBytes, 1<<40)
	checkRange(c, "Limits.Connections", c.settings.Limits.Connections, 16, 1<<20)
}

func (c *checker) checkTimeouts() {
	t := c.settings.Timeouts
	fields := []struct {
		path    string
		value   Duration
		maximum time.Duration
	}{
		{"Timeouts.Request", t.Request, 24 * time.Hour}, {"Timeouts.ChunkGap", t.ChunkGap, time.Hour},
		{"Timeouts.CallerRead", t.CallerRead, time.Hour}, {"Timeouts.CallerWrite", t.CallerWrite, time.Hour},
		{"Timeouts.AddressLifetime", t.AddressLifetime, time.Hour}, {"Timeouts.Stop", t.Stop, 48 * time.Hour},
	}
	for _, f := range fields {
		checkRange(c, f.path, f.value, Duration(time.Millisecond), Duration(f.maximum))
	}
	if minimum := t.Request + t.AddressLifetime; t.Stop < minimum {
		c.add("Timeouts.Stop", "must be at least Request plus AddressLifetime (%s), or a planned stop interrupts requests", minimum.Std())
	}
}

func (c *checker) checkKeyFiles() {
	callers, peers := c.settings.TLS.Callers, c.settings.TLS.Peers
	if (callers.CertFile == "") != (callers.KeyFile == "") {
		c.add("TLS.Callers", "needs both CertFile and KeyFile, or neither")
	}
	if callers.CAFile != "" {
		c.add("TLS.Callers.CAFile", "is not used: callers authenticate with a bearer credential")
	}
	complete := peers.CertFile != "" && peers.KeyFile != "" && peers.CAFile != ""
	if !complete && peers != (KeyFiles{}) {
		c.add("TLS.Peers", "needs CertFile, KeyFile and CAFile, or none of them")
	}
}

// checkRange adds a finding for a value outside the range from minimum to maximum.
func checkRange[T int | int64 | float64 | Duration](c *checker, path string, value, minimum, maximum T) {
	if value < minimum || value > maximum {
		c.add(path, "must be between %v and %v", minimum, maximum)
	}
}

// parseAddress parses an IP:port that others can connect to. The second result is the reason why text is invalid, or
// an empty string.
func parseAddress(text string) (netip.AddrPort, string) {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return address, "must be IP:port, with IPv6 in brackets and no host name"
	case address.Port() == 0:
		return address, "must have a port from 1 to 65535"
	case address.Addr().Zone() != "":
		return address, "must not have an IPv6 zone"
	default:
		return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), ""
	}
}
