package ranker

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// TestPosition guards against two nodes with the same position and against positions without a node: it compares Position with the
// index in the result of Rank.
func TestPosition(t *testing.T) {
	for _, count := range []int{1, 2, 9, 330} {
		nodes := make([]modeler.NodeID, count)
		for i := range nodes {
			nodes[i] = modeler.NodeID(fmt.Sprintf("entry-%03d/1", i))
		}
		for _, key := range []string{"", "entry-001/1", "mint/7"} {
			for i, node := range Rank(key, nodes) {
				assert.Equal(t, Position(key, node, nodes), i)
			}
		}
	}
}
