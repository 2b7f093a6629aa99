package loader

import (
	"fmt"
	"net/netip"
	"strings"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// fieldAddress is an address and the path of the field that sets it.
type fieldAddress struct {
	path    string
	address netip.AddrPort
}

// conflictsWith reports whether two sockets cannot both listen: an unspecified IP includes all IPs of the instance.
func (a fieldAddress) conflictsWith(other fieldAddress) bool {
	if a.address.Port() != other.address.Port() {
		return false
	}
	return a.address == other.address || a.address.Addr().IsUnspecified() || other.address.Addr().IsUnspecified()
}

// checkAddresses checks the addresses of this node and of its peers. The peer list may contain the node's own address, so that
// all nodes can use the same list; the address is removed from the result.
func (c *checker) checkAddresses() {
	listen := c.settings.Listen
	callers, callersOK := c.checkAddress("Listen.Callers", listen.Callers)
	peers, peersOK := c.checkAddress("Listen.Peers", listen.Peers)
	if peersOK && peers.address.Addr().IsUnspecified() {
		c.add("Listen.Peers", "must name the IP that other nodes connect to")
	}
	if callersOK && callers.address.Addr().IsUnspecified() && !c.present("Listen.PublicURL") {
		c.add("Listen.PublicURL", "is required when Listen.Callers listens on all IPs")
	}
	if callersOK && peersOK && callers.conflictsWith(peers) {
		c.add("Listen.Peers", "clashes with Listen.Callers")
	}
	seen := map[netip.AddrPort]string{}
	others := make([]string, 0, len(c.settings.Peers))
	for i, text := range c.settings.Peers {
		peer, ok := c.checkAddress(fmt.Sprintf("Peers[%d]", i), text)
		if !ok {
			continue
		}
		if first, duplicate := seen[peer.address]; duplicate {
			c.add(peer.path, "is the same address as %s", first)
		} else if callersOK && peer.address == callers.address {
			c.add(peer.path, "clashes with Listen.Callers")
		}
		seen[peer.address] = peer.path
		if !peersOK || peer.address != peers.address {
			others = append(others, text)
		}
	}
	c.settings.Peers = others
	c.checkEndpointAddresses([]fieldAddress{callers, peers}, seen)
}

func (c *checker) checkEndpointAddresses(own []fieldAddress, seen map[netip.AddrPort]string) {
	for i, e := range c.settings.Endpoints {
		endpoint, ok := c.checkAddress(fmt.Sprintf("Endpoints[%d].Address", i), e.Address)
		if !ok {
			continue
		}
		if endpoint.address.Addr().IsUnspecified() {
			c.add(endpoint.path, "must name the IP of the endpoint")
		}
		for _, o := range own {
			if o.address.IsValid() && o.address == endpoint.address {
				c.add(endpoint.path, "clashes with %s", o.path)
			}
		}
		if first, duplicate := seen[endpoint.address]; duplicate {
			c.add(endpoint.path, "is the same address as %s", first)
		}
		seen[endpoint.address] = endpoint.path
	}
}

// checkAddress parses the address in a field. It returns false after it added a finding.
func (c *checker) checkAddress(path, text string) (fieldAddress, bool) {
	if !c.required(path, text == "") {
		return fieldAddress{path: path}, false
	}
	address, reason := parseAddress(text)
	if reason != "" {
		c.add(path, "%s", reason)
		return fieldAddress{path: path}, false
	}
	return fieldAddress{path: path, address: address}, true
}

func (c *checker) checkEndpoints() {
	ids := map[modeler.EndpointID]int{}
	for i, e := range c.settings.Endpoints {
		path := fmt.Sprintf("Endpoints[%d]", i)
		c.checkName(path+".ID", string(e.ID))
		if first, duplicate := ids[e.ID]; duplicate && e.ID != "" {
			c.add(path+".ID", "is the same ID as Endpoints[%d]", first)
		} else {
			ids[e.ID] = i
		}
		c.checkName(path+".DataCentre", string(e.DataCentre))
		c.checkModels(path, e)
		c.checkKind(path, e)
		checkRange(c, path+".ColdLimit", e.ColdLimit, 1, 1_000)
	}
}

func (c *checker) checkModels(path string, e Endpoint) {
	if !c.required(path+".Models", len(e.Models) == 0) {
		return
	}
	seen := map[string]bool{}
	for i, model := range e.Models {
		field := fmt.Sprintf("%s.Models[%d]", path, i)
		c.checkName(field, model)
		if seen[model] && model != "" {
			c.add(field, "is given twice")
		}
		seen[model] = true
	}
}

func (c *checker) checkKind(path string, e Endpoint) {
	switch e.Kind {
	case "":
		c.add(path+".Kind", "is required")
	case "Engine":
		if c.required(path+".Capacity", !c.present(path+".Capacity")) {
			checkRange(c, path+".Capacity", int64(e.Capacity), 1, 1<<40)
		}
	case "Service":
		if e.Capacity != 0 {
			c.add(path+".Capacity", "must not be set for a service, which has no KV memory")
		}
		if len(e.Models) > 1 {
			c.add(path+".Models", "must hold one name: that of the service")
		}
		if len(e.Models) == 1 && strings.Contains(e.Models[0], "/") {
			c.add(path+".Models[0]", "must not hold a slash, because it is one part of the path /services/NAME/...")
		}
	default:
		c.add(path+".Kind", "must be Engine or Service")
	}
}
