package modeler_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// TestLogEventsAreDocumented guards against a log event that the operators' page does not document.
func TestLogEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, name := range modeler.LogEventNames {
		t.Run(string(name), func(t *testing.T) {
			assert.Assert(t, strings.Contains(string(page), "`"+string(name)+"`"))
		})
	}
}
