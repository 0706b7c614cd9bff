package boot

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/stand/canned"
)

// uploadBytes is the size of a long upload, and takenBytes how much of it a backend server reads that responds early.
const (
	uploadBytes = 2 << 20
	takenBytes  = 1 << 19
)

// Guards against a response that breaks off while its request is written, and that an agent passes on as a whole one. An
// early response that came whole is one.
func TestEarlyResponsesOfBackendServers(t *testing.T) {
	const runs = 20
	noLength := canned.Flaw{Unframed: true}
	failure := canned.Flaw{Unframed: true, StatusLine: "HTTP/1.1 413 Too Large"}
	for _, c := range []struct {
		name     string
		response canned.Response
		status   int
		outcome  track.Outcome
	}{
		{"breaks off", noLength.Response("boo"), http.StatusOK, track.Unknown},
		{"failure breaks off", failure.Response("the bo"), http.StatusRequestEntityTooLarge, track.Unknown},
		{"whole", canned.Sound("booked"), http.StatusOK, track.Completed},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend, err := canned.Start(t.Context(), c.response.ResetEarly(takenBytes))
			assert.NilError(t, err)
			defer backend.Close()
			for i := range runs {
				status, final := runPlain(t, newAgentBefore(backend.Address()), "r-1", make([]byte, uploadBytes))
				assert.Equal(t, status, c.status)
				assert.Equal(t, final.Outcome, c.outcome, final.Fault)
				assert.Equal(t, len(backend.Requests()), i+1)
			}
		})
	}
}

// Guards against a part of a response that reaches the caller as a whole one, and against a booking that is sent twice
// after one.
func TestCallersOfBackendServersThatRespondEarly(t *testing.T) {
	const runs = 5
	noLength := canned.Flaw{Unframed: true}
	part := noLength.Response("boo").ResetEarly(takenBytes)
	upload := strings.Repeat("x", uploadBytes)
	t.Run("booking", func(t *testing.T) {
		for range runs {
			d := newDeployment(t, part, canned.Sound("booked"))
			for range 2 {
				status, body, outcome := d.send(t, http.MethodPost, "/services/pickup-desk/bookings", upload)
				assert.Equal(t, status, http.StatusBadGateway, body)
				assert.Assert(t, strings.Contains(body, "backend_server_failed"), body)
				assert.Equal(t, outcome, "Unknown")
			}
			assert.Equal(t, len(d.backend.Requests()), 1)
		}
	})
	t.Run("repeated", func(t *testing.T) {
		for range runs {
			d := newDeployment(t, part, canned.Sound("open"))
			status, body, outcome := d.send(t, http.MethodGet, "/services/pickup-desk/hours", upload)
			assert.Equal(t, status, http.StatusOK, body)
			assert.Equal(t, body, "open")
			assert.Equal(t, outcome, "Completed")
			assert.Equal(t, len(d.backend.Requests()), 2)
		}
	})
	t.Run("resumed", func(t *testing.T) {
		prompt := strings.Replace(streamedRequest, "bales", upload, 1)
		partOfStream := noLength.Response(generatedWord("one")).ResetEarly(takenBytes)
		for range runs {
			d := newDeployment(t, partOfStream, canned.Sound(generatedWord("two")+doneEvents))
			status, body, outcome := d.send(t, http.MethodPost, "/v1/chat/completions", prompt)
			assert.Equal(t, status, http.StatusOK, body)
			one, two := strings.Index(body, "one "), strings.Index(body, "two ")
			assert.Assert(t, 0 <= one && one < two, body)
			assert.Assert(t, strings.HasSuffix(body, "[DONE]\n\n"), body)
			assert.Equal(t, outcome, "Completed")
			assert.Equal(t, len(d.backend.Requests()), 2)
		}
	})
}
