package ctl

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/operator"
)

// Guards against an end of the wait while a live VM still works by an older
// version, and against a wait for a VM that is gone.
func TestLaggards(t *testing.T) {
	s := operator.Status{Instance: "own", Version: 4, Peers: []operator.Peer{
		{Instance: "same", State: "live", Version: 4},
		{Instance: "late", State: "live", Version: 3},
		{Instance: "cut", State: "silent", Version: 2},
		{Instance: "stops", State: "leaving", Version: 3},
	}}
	behind, silent := laggards(s, 4)
	assert.DeepEqual(t, behind, []string{"late"})
	assert.DeepEqual(t, silent, []string{"cut"})
	behind, _ = laggards(s, 5)
	assert.DeepEqual(t, behind, []string{"own", "same", "late"})
}
