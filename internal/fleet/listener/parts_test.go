package listener

import (
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// TestPartFingerprints guards against a part of a prompt that crashes the engines of one service and is cleared by answers of another one, and
// against parts that are not recognised in another prompt.
func TestPartFingerprints(t *testing.T) {
	want := partFingerprints("engines", []string{"a", "b"})
	tests := []struct {
		name    string
		service modeler.ServiceID
		ids     []string
		same    bool
	}{
		{"the same parts", "engines", []string{"a", "b"}, true},
		{"another service", "others", []string{"a", "b"}, false},
		{"other parts", "engines", []string{"c", "d"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := partFingerprints(tt.service, tt.ids)
			for i := range want {
				assert.Equal(t, got[i] == want[i], tt.same)
			}
		})
	}
}
