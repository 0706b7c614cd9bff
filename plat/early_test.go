package plat_test

import (
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/plat"
	"filberttrack.example/track/stand/canned"
)

// Guards against a response of the log that breaks off while records are written, and that confirms or refuses them.
func TestEarlyResponseThatBreaksOff(t *testing.T) {
	const runs, recordBytes = 20, 2 << 20
	for _, body := range []string{`{"Offset":7}`, `{"Kind":"refused"}`} {
		part := canned.Flaw{Unframed: true}.Response(body).ResetEarly(recordBytes / 4)
		service, err := canned.Start(t.Context(), part)
		assert.NilError(t, err)
		defer service.Close()
		log := plat.NewLog(plat.NewHTTPClient(time.Minute), &url.URL{Scheme: "http", Host: service.Address()})
		for range runs {
			_, err = log.Append(t.Context(), "s", [][]byte{make([]byte, recordBytes)})
			assert.Assert(t, track.IsKind(err, track.Ambiguous), "%v", err)
		}
		assert.Equal(t, len(service.Requests()), runs)
	}
}
