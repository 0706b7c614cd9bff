package plat_test

import (
	"net/url"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/plat"
	"filberttrack.example/track/stand/canned"
)

// Guards against a response that is not valid HTTP and is taken for what a service of the platform says: that a record
// was appended, or that certainly none was.
func TestBrokenHeads(t *testing.T) {
	for _, flaw := range canned.BrokenHeads() {
		t.Run(flaw.Name, func(t *testing.T) {
			for _, body := range []string{`{"Offset":7}`, `{"Kind":"refused"}`, "[]"} {
				service, err := canned.Start(t.Context(), flaw.Response(body))
				assert.NilError(t, err)
				defer service.Close()
				base, client := &url.URL{Scheme: "http", Host: service.Address()}, plat.NewHTTPClient(time.Minute)
				log := plat.NewLog(client, base)
				_, err = log.Append(t.Context(), "s", [][]byte{{1}})
				assert.Assert(t, track.IsKind(err, track.Ambiguous), "%v", err)
				_, err = log.Read(t.Context(), "s", 0, 1)
				assert.Assert(t, track.IsKind(err, track.Unavailable), "%v", err)
				_, err = plat.NewInstanceList(client, base, zap.NewNop()).Instances(t.Context())
				assert.Assert(t, track.IsKind(err, track.Unavailable), "%v", err)
			}
		})
	}
}
