package ring_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/ring"
)

func ExampleRing() {
	r := ring.New[string](2)
	fmt.Println(r.Offer("first"), r.Offer("second"), r.Offer("third"))
	fmt.Println(<-r.Items(), r.Len(), r.Dropped())
	// Output:
	// true true false
	// first 1 1
}

func TestPutBlocksUntilTheContextEnds(t *testing.T) {
	r := ring.New[int](1)
	ctx, cancel := context.WithCancel(context.Background())
	assert.NilError(t, r.Put(ctx, 1))
	cancel()
	assert.ErrorIs(t, r.Put(ctx, 2), context.Canceled)
	assert.Equal(t, r.Len(), 1)
}
