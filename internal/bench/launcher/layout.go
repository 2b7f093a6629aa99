// Package launcher starts nodes and stand-ins as processes on loopback, for the demonstration, benchmarks and failure tests.
package launcher

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// Layout describes a deployment. Nodes, engines and services are distributed evenly over the data centres.
type Layout struct {
	DataCentres []modeler.DataCentreID
	Nodes       int
	Engines     int
	Services    int
	// Capacity is the KV memory of each engine.
	Capacity modeler.Tokens
	// EngineFlags, ServiceFlags and LogFlags are additional arguments of the stand-ins.
	EngineFlags  []string
	ServiceFlags []string
	LogFlags     []string
	Model        string
	Members      []Member
	Policy       loader.Policy
	Timeouts     loader.Timeouts
	// Retention is the retention of the log in the settings of the nodes.
	Retention time.Duration
	// ExtraRules are appended to the rule file after the fleet and share lines.
	ExtraRules string
}

// Member is a member with its credential and its share of the fleet in percent.
type Member struct {
	Name    string
	Token   string
	Percent float64
}

// OperatorToken is the credential of the operator of every launched deployment.
const OperatorToken = "operator-token"

// DefaultLayout returns a deployment of three data centres with 8 nodes, 16 engines and 3 services, the current size of the deployment whose
// policy preset it uses.
func DefaultLayout() Layout {
	return Layout{
		DataCentres: []modeler.DataCentreID{"bud-a", "bud-b", "bud-c"},
		Nodes:       8, Engines: 16, Services: 3, Capacity: 400_000, Model: "terms-70b",
		Members: []Member{
			{Name: "dispatch", Token: "token-dispatch", Percent: 60},
			{Name: "claims", Token: "token-claims", Percent: 40},
		},
		Policy: loader.Policy{Preset: loader.PresetSzelfogo},
		Timeouts: loader.Timeouts{
			Request: loader.Duration(2 * time.Minute), AddressLifetime: loader.Duration(2 * time.Second),
			Stop: loader.Duration(150 * time.Second),
		},
		Retention: 24 * time.Hour,
	}
}

// Rules returns the rule file of the layout.
func (l Layout) Rules() string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "fleet tokens=%d # bench, the engines of this layout\n", modeler.Tokens(l.Engines)*l.Capacity)
	for _, m := range l.Members {
		_, _ = fmt.Fprintf(&text, "share %s percent=%g # bench\n", m.Name, m.Percent)
	}
	text.WriteString(l.ExtraRules)
	return text.String()
}

// dataCentre returns the data centre of the i-th node, engine or service, counted from 0.
func (l Layout) dataCentre(i int) modeler.DataCentreID { return l.DataCentres[i%len(l.DataCentres)] }

// settings returns the settings of a node.
func (l Layout) settings(f *Fleet, n *Process, peers []string) loader.Settings {
	s := loader.Settings{
		Node:     loader.Node{Name: n.Name, DataCentre: n.DataCentre},
		Listen:   loader.Listen{Callers: n.Address, Peers: n.PeerAddress},
		Peers:    peers,
		Platform: loader.Platform{LogURL: f.Log.URL(), InstancesURL: f.Instances.URL(), LogRetention: loader.Duration(l.Retention)},
		Policy:   l.Policy, Timeouts: l.Timeouts,
		Credentials: []loader.Credential{{SHA256: hashToken(OperatorToken), Operator: "bench"}},
	}
	for _, m := range l.Members {
		s.Credentials = append(s.Credentials, loader.Credential{SHA256: hashToken(m.Token), Member: modeler.MemberID(m.Name)})
	}
	for _, e := range f.Engines {
		s.Endpoints = append(s.Endpoints, loader.Endpoint{
			ID: modeler.EndpointID(e.Name), Kind: "Engine", Address: e.Address, DataCentre: e.DataCentre,
			Models: []string{l.Model}, Capacity: l.Capacity, ColdLimit: loader.DefaultColdLimit,
		})
	}
	for _, e := range f.Services {
		s.Endpoints = append(s.Endpoints, loader.Endpoint{
			ID: modeler.EndpointID(e.Name), Kind: "Service", Address: e.Address, DataCentre: e.DataCentre,
			Models: []string{ServiceName}, ColdLimit: loader.DefaultColdLimit,
		})
	}
	return s
}

// ServiceName is the name under which callers reach all services of a layout that are not engines.
const ServiceName = "bookings"

func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
