package loader_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/loader"
)

const validSettings = `// a comment
{
  "Node": {"Name": "n", "IP": "127.0.0.1", "DataCentre": "dc", "Region": "r"},
  "Listen": {"Callers": "127.0.0.1:1", "Ready": "127.0.0.1:2", "Addresses": "127.0.0.1:3", "PeerPorts": [4, 5], "MetricsPort": 6},
  "Store": {"Address": "127.0.0.1:7"},
  "Limits": {"MemoryMB": 284},
  "Bounds": {"GraceSeconds": 8, "RetryBudgetRatio": 0.2, "RetryBudgetSlack": 100, "BudgetWindowSeconds": 10, "ColdFactor": 1.5, "ColdSlack": 5},
  "Addresses": {"KeepSeconds": 2, "LongestKeep": 3},
  "Log": {"Level": "info"},
}`

// TestParse guards against settings that are accepted although a node cannot run with them, and against reporting only the first of
// several findings.
func TestParse(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		findings []string
	}{
		{"valid", "", "", nil},
		{"unknown field", `"Level"`, `"Lever"`, []string{"Lever"}},
		{"invalid JSON", `"Node":`, `"Node"`, []string{"hujson"}},
		{"wrong type", `"MemoryMB": 284`, `"MemoryMB": "284"`, []string{"MemoryMB"}},
		{"address without port", `"127.0.0.1:7"`, `"127.0.0.1"`, []string{"Store.Address"}},
		{"host name", `"127.0.0.1:1"`, `"localhost:1"`, []string{"Listen.Callers"}},
		{"ports in wrong order", `[4, 5]`, `[5, 4]`, []string{"Listen.PeerPorts"}},
		{"several findings", `"Name": "n", "IP": "127.0.0.1"`, `"Name": "", "IP": ""`, []string{"Node.Name", "Node.IP"}},
		{"zero where a positive value is required", `"GraceSeconds": 8`, `"GraceSeconds": 0`, []string{"Bounds.GraceSeconds"}},
		{"processor capacity", `"MemoryMB": 284`, `"MemoryMB": 284, "CPUShare": 0.4, "CPUCores": 2`, nil},
		{"negative processor share", `"MemoryMB": 284`, `"MemoryMB": 284, "CPUShare": -0.4`, []string{"Limits.CPUShare"}},
		{"negative", `"ColdSlack": 5`, `"ColdSlack": -5`, []string{"Bounds.ColdSlack"}},
		{"unknown log level", `"info"`, `"loud"`, []string{"Log.Level"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			settings, err := loader.Parse("f", []byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			if tt.findings == nil {
				assert.NilError(t, err)
				assert.Equal(t, settings.Bounds.ColdFactor, 1.5)
				return
			}
			for _, finding := range tt.findings {
				assert.ErrorContains(t, err, finding)
			}
		})
	}
}

// TestExample guards against example settings that fail the check.
func TestExample(t *testing.T) {
	data, err := os.ReadFile("../../../docs/examples/fleet.jsonc")
	assert.NilError(t, err)
	_, err = loader.Parse("fleet.jsonc", data)
	assert.NilError(t, err)
}
