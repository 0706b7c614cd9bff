package talk_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/stand/canned"
	"filberttrack.example/track/talk"
)

// Guards against a response of a peer that is not valid HTTP and is used, and against a connection that is used again
// after one.
func TestBrokenHeads(t *testing.T) {
	for _, flaw := range canned.BrokenHeads() {
		t.Run(flaw.Name, func(t *testing.T) {
			for _, body := range []string{`{"Text":"broken"}`, ""} {
				broken := flaw.Response(body)
				broken.StaysOpen = true
				peer, err := canned.Start(t.Context(), broken, canned.Sound(`{"Text":"sound"}`))
				assert.NilError(t, err)
				defer peer.Close()
				client := talk.NewClient()
				call := func() (echoResponse, error) {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					return talk.Call[echoRequest, echoResponse](ctx, client, peer.Address(), "/echo", echoRequest{})
				}
				got, err := call()
				assert.Assert(t, track.IsKind(err, track.Ambiguous), "%+v, %v", got, err)
				got, err = call()
				assert.NilError(t, err)
				assert.Equal(t, got.Text, "sound")
				assert.Equal(t, peer.Connections(), 2)
			}
		})
	}
}
