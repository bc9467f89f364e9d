package tcp

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two tested processes that get the same port.
func TestFreeLoopbackGivesEachAddressOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 500 {
		address, err := ReserveLoopbackAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], address)
		seen[address] = true
		free, err := reserve(address)
		assert.NilError(t, err)
		assert.Assert(t, !free, "%s was reserved twice", address)
	}
}
