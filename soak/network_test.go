package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two runs at the same time that use the same addresses, so that each gets the requests of the other.
func TestRunsHaveNetworksOfTheirOwn(t *testing.T) {
	first, err := reserveNetwork(2)
	assert.NilError(t, err)
	second, err := reserveNetwork(2 + networks)
	assert.NilError(t, err)
	assert.Assert(t, first.address(7) != second.address(7))
	assert.NilError(t, first.Close())
	third, err := reserveNetwork(2)
	assert.NilError(t, err)
	assert.Equal(t, third.address(7), first.address(7))
	assert.NilError(t, second.Close())
	assert.NilError(t, third.Close())
}
