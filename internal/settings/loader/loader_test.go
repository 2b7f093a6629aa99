package loader_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/findings/collector"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// minimalFile is the shortest valid file; %s is replaced by further fields.
const minimalFile = `{"Node": {"Name": "n1", "DataCentre": "a"},
"Listen": {"Callers": "127.0.0.1:1", "Peers": "127.0.0.1:2"},
"Platform": {"LogURL": "http://127.0.0.1:3", "LogRetention": "1h"}, // comment
%s}`

func minimalFileWith(fields string) string { return strings.Replace(minimalFile, "%s", fields, 1) }

const hash = "00000000000000000000000000000000000000000000000000000000000000aB"

// TestExample guards against an annotated example file that does not load or whose fields have no effect.
func TestExample(t *testing.T) {
	s, err := loader.Load("../../../docs/examples/damaskpick.jsonc")
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Peers, []string{"10.21.0.11:8081", "10.22.0.11:8081"})
	assert.Equal(t, s.Weights().LongPart, 0.55)
}

// TestParseFindings guards against faults that are accepted, that hide each other, or that are reported at the wrong position.
func TestParseFindings(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"syntax", "{\"Node\": {\n \"Name\" 1}}", []string{"f:2:9: not valid JSON: invalid character '1' after object name"}},
		{"truncated", `{"Node": `, []string{"f:1:10: not valid JSON: parsing value: unexpected EOF"}},
		{"not an object", `[]`, []string{"f:1:1: must be an object, not a list"}},
		{"empty object", `{}`, []string{
			"f:1:1: Node.Name: is required", "f:1:1: Node.DataCentre: is required", "f:1:1: Platform.LogURL: is required",
			"f:1:1: Platform.LogRetention: is required", "f:1:1: Listen.Callers: is required", "f:1:1: Listen.Peers: is required",
		}},
		{"unknown, repeated and mistyped fields together", minimalFileWith("\"Peer\": [],\n\"Log\": {\"Level\": 3, \"level\": \"info\"},\n\"Peers\": null, \"Log\": {}"), []string{
			"f:4:1: Peer: unknown field", "f:5:18: Log.Level: must be a text, not 3", "f:5:21: Log.level: unknown field",
			"f:6:10: Peers: must be a list, not null", "f:6:16: Log: given twice",
		}},
		{"wrong types do not repeat texts", minimalFileWith(`"Limits": {"HeaderBytes": "secret", "BodyBytes": 1.5}, "Timeouts": {"Stop": 5, "Request": "5"}`), []string{
			"f:4:27: Limits.HeaderBytes: must be a whole number, not a text", "f:4:50: Limits.BodyBytes: must be a whole number, not 1.5",
			"f:4:77: Timeouts.Stop: must be a text such as \"2.5s\", not 5",
			"f:4:91: Timeouts.Request: \"5\" is not a duration; write a number with a unit, such as \"2.5s\" or \"10m\"",
		}},
		{"conflicting addresses", minimalFileWith(`"Peers": ["127.0.0.1:9", "127.0.0.1:9", "127.0.0.1:1", "localhost:5"],
"Endpoints": [{"ID": "e", "Kind": "Engine", "Address": "127.0.0.1:2", "DataCentre": "a", "Models": ["m"], "Capacity": 5},
{"ID": "e", "Kind": "Service", "Address": "[::ffff:127.0.0.1]:9", "DataCentre": "a", "Models": ["m", "m"], "Capacity": 5}]`), []string{
			"f:4:26: Peers[1]: is the same address as Peers[0]", "f:4:41: Peers[2]: clashes with Listen.Callers",
			"f:4:56: Peers[3]: must be IP:port, with IPv6 in brackets and no host name",
			"f:5:56: Endpoints[0].Address: clashes with Listen.Peers", "f:6:8: Endpoints[1].ID: is the same ID as Endpoints[0]",
			"f:6:43: Endpoints[1].Address: is the same address as Peers[1]",
			"f:6:96: Endpoints[1].Models: must hold one name: that of the service", "f:6:102: Endpoints[1].Models[1]: is given twice",
			"f:6:120: Endpoints[1].Capacity: must not be set for a service, which has no KV memory",
		}},
		{"addresses of the node", `{"Node": {"Name": "n/1", "DataCentre": "a b"}, "Listen": {"Callers": "0.0.0.0:2", "Peers": "127.0.0.1:2"},
"Platform": {"LogURL": "ftp://x", "LogRetention": "1s"}}`, []string{
			"f:1:19: Node.Name: must not hold a slash, which separates the incarnation",
			"f:1:40: Node.DataCentre: may only hold ASCII letters, digits and the characters ._-:@/",
			"f:1:58: Listen.PublicURL: is required when Listen.Callers listens on all IPs", "f:1:92: Listen.Peers: clashes with Listen.Callers",
			"f:2:24: Platform.LogURL: must be an http or https URL without user information",
			"f:2:51: Platform.LogRetention: must be between 1m0s and 87600h0m0s",
		}},
		{"credentials", minimalFileWith(`"Credentials": [{"SHA256": "` + hash + `", "Member": "m"}, {"SHA256": "` + strings.ToLower(hash) + `", "Operator": "o"},
{"SHA256": "12", "Member": "m", "Operator": "o"}, {}]`), []string{
			"f:4:123: Credentials[1].SHA256: is the same hash as Credentials[0]",
			"f:5:1: Credentials[2]: must name a Member or an Operator, not both",
			"f:5:12: Credentials[2].SHA256: must be a SHA-256 in 64 hexadecimal digits",
			"f:5:51: Credentials[3].SHA256: is required", "f:5:51: Credentials[3]: must name a Member or an Operator",
		}},
		{"service name", minimalFileWith(`"Endpoints": [{"ID": "e", "Kind": "Service", "Address": "127.0.0.1:7", "DataCentre": "a", "Models": ["a/b"]}]`), []string{
			"f:4:102: Endpoints[0].Models[0]: must not hold a slash, because it is one part of the path /services/NAME/...",
		}},
		{"ranges", minimalFileWith(`"Policy": {"Preset": "Other", "LongPart": 1.5, "RetryPart": -1}, "Log": {"Level": "all"},
"Timeouts": {"Request": "1m", "Stop": "1m", "ChunkGap": "-1s"}, "TLS": {"Callers": {"KeyFile": "k", "CAFile": "c"}, "Peers": {"CertFile": "c"}}`), []string{
			"f:4:22: Policy.Preset: must be Szelfogo, Magnolia or empty", "f:4:43: Policy.LongPart: must be between 0 and 1",
			"f:4:61: Policy.RetryPart: must be between 0 and 1", "f:4:83: Log.Level: must be debug, info, warn or error",
			"f:5:39: Timeouts.Stop: must be at least Request plus AddressLifetime (1m10s), or a planned stop interrupts requests",
			"f:5:57: Timeouts.ChunkGap: must be between 1ms and 1h0m0s", "f:5:84: TLS.Callers: needs both CertFile and KeyFile, or neither",
			"f:5:111: TLS.Callers.CAFile: is not used: callers authenticate with a bearer credential",
			"f:5:126: TLS.Peers: needs CertFile, KeyFile and CAFile, or none of them",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := loader.Parse("f", []byte(tt.text))
			var findings collector.FindingsError
			assert.Assert(t, errors.As(err, &findings), "%v", err)
			assert.DeepEqual(t, strings.Split(err.Error(), "\n"), tt.want)
		})
	}
}

// TestParseDefaults guards against defaults that differ from their documentation.
func TestParseDefaults(t *testing.T) {
	s, err := loader.Parse("f", []byte(minimalFileWith(`"Credentials": [{"SHA256": "`+hash+`", "Member": "m"}], "TLS": {"Callers": {"CertFile": "c", "KeyFile": "k"}},
"Endpoints": [{"ID": "e", "Kind": "Engine", "Address": "127.0.0.1:7", "DataCentre": "a", "Models": ["m"], "Capacity": 5}]`)))
	assert.NilError(t, err)
	assert.Equal(t, s.Timeouts, loader.DefaultTimeouts())
	assert.Equal(t, s.Timeouts.Stop.Std(), 10*time.Minute+40*time.Second)
	assert.Equal(t, s.Limits, loader.Limits{HeaderBytes: 16 << 10, BodyBytes: 8 << 20, HeldBytes: 128 << 20, Connections: 4096})
	assert.Equal(t, s.Listen.PublicURL, "https://127.0.0.1:1")
	assert.Equal(t, s.Endpoints[0].ColdLimit, 2)
	assert.Equal(t, s.Credentials[0].SHA256, strings.ToLower(hash))
	assert.Equal(t, s.Log.Level, "info")
}

// TestWeights guards against a preset or an override that is ignored.
func TestWeights(t *testing.T) {
	tests := []struct {
		name   string
		policy loader.Policy
		want   func(base modeler.Weights) modeler.Weights
	}{
		{"default", loader.Policy{}, func(w modeler.Weights) modeler.Weights { return w }},
		{"override", loader.Policy{LongPart: 0.1, MaxRunning: 3}, func(w modeler.Weights) modeler.Weights {
			w.LongPart, w.MaxRunning = 0.1, 3
			return w
		}},
	}
	for _, preset := range []string{loader.PresetDefault, loader.PresetSzelfogo, loader.PresetMagnolia} {
		base := loader.Settings{Policy: loader.Policy{Preset: preset}}.Weights()
		for _, tt := range tests {
			tt.policy.Preset = preset
			assert.Equal(t, loader.Settings{Policy: tt.policy}.Weights(), tt.want(base), "%s of %q", tt.name, preset)
		}
	}
	szelfogo := loader.Settings{Policy: loader.Policy{Preset: loader.PresetSzelfogo}}.Weights()
	magnolia := loader.Settings{Policy: loader.Policy{Preset: loader.PresetMagnolia}}.Weights()
	assert.Assert(t, magnolia.LongPart < szelfogo.LongPart)
}
