package talk_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/stand/canned"
	"filberttrack.example/track/talk"
)

// Guards against a response of a peer that breaks off while the call is written, and that is taken for a whole one.
func TestEarlyResponseThatBreaksOff(t *testing.T) {
	const runs, textBytes, takenBytes = 20, 3 << 19, 1 << 18
	part := canned.Flaw{Unframed: true}.Response(`{"Text":"part"}`).ResetEarly(takenBytes)
	peer, err := canned.Start(t.Context(), part)
	assert.NilError(t, err)
	defer peer.Close()
	// Random digits don't compress to less than the kernel takes at once.
	random := rand.New(rand.NewPCG(1, 2))
	text := make([]byte, textBytes)
	for i := range text {
		text[i] = '0' + byte(random.IntN(10))
	}
	client := talk.NewClient()
	for range runs {
		got, err := talk.Call[echoRequest, echoResponse](t.Context(), client, peer.Address(), "/echo", echoRequest{Text: string(text)})
		assert.Assert(t, track.IsKind(err, track.Ambiguous), "%+v, %v", got, err)
	}
	assert.Equal(t, len(peer.Requests()), runs)
}
