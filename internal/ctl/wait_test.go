package ctl

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/operator"
)

// Guards against a wait that ends while a live VM still has an older version,
// and against waiting for a suspect or leaving VM.
func TestOutdatedVMs(t *testing.T) {
	s := operator.Status{Instance: "own", Version: 4, Peers: []operator.Peer{
		{Instance: "same", State: "live", Version: 4},
		{Instance: "late", State: "live", Version: 3},
		{Instance: "cut", State: "silent", Version: 2},
		{Instance: "stops", State: "leaving", Version: 3},
	}}
	outdated, suspect := outdatedVMs(s, 4)
	assert.DeepEqual(t, outdated, []string{"late"})
	assert.DeepEqual(t, suspect, []string{"cut"})
	outdated, _ = outdatedVMs(s, 5)
	assert.DeepEqual(t, outdated, []string{"own", "same", "late"})
}
