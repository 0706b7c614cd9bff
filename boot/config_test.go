package boot_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
	"filberttrack.example/track/edits"
)

// guardOperators lets calls with the test's admin token through.
func guardOperators(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer operators" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// operate has an operator call an entry and notes the answer.
func (x *session) operate(entry int, method, path, token string, body any) {
	data, err := json.Marshal(body)
	assert.NilError(x.t, err)
	request := httptest.NewRequest(method, path, bytes.NewReader(data))
	request.Header.Set("Authorization", "Bearer "+token)
	x.note("> operator to entry-%d %s %s", entry+1, method, path)
	recorder := httptest.NewRecorder()
	x.entries[entry].Operators().ServeHTTP(recorder, request)
	x.note("< %d %s", recorder.Code, strings.TrimSpace(recorder.Body.String()))
}

func (x *session) publish(entry int, p edits.PublishRequest) {
	x.operate(entry, "POST", edits.ChangesPath, "operators", p)
}

// editAccount returns a publication that gives a client account its weight.
func editAccount(t *testing.T, operator, id string, weight float64, replaces uint64) edits.PublishRequest {
	value, err := change.EncodeObject(track.ClientAccount{
		Name: "night-desk", TokenSHA256: change.HexSHA256([]byte(token + "-2")), Weight: weight,
	})
	assert.NilError(t, err)
	return edits.PublishRequest{Change: change.Change{ID: id, Operator: operator, Edits: []change.Edit{{
		Key: change.Key{Kind: change.AccountKind, Name: "night-desk"}, Replaces: replaces, Value: value,
	}}}}
}

// The session covers a change from an operator at one entry to a caller at
// another: dry run, verdicts, a race, an outage of the log, and a rollback.
func TestSessionConfig(t *testing.T) {
	play(t, "session-config", 2, func(_ context.Context, x *session) {
		call := func(entry int) {
			x.send(entry, "GET", "/v1/models", "", "Authorization", "Bearer "+token+"-2")
		}
		first := editAccount(t, "maria", "change-1", 1, 0)
		x.operate(0, "POST", edits.ChangesPath, "guessed", first)
		dry := first
		dry.DryRun = true
		x.publish(0, dry)
		call(0)
		x.publish(0, first)
		call(0)
		x.pass(2 * time.Second)
		call(1)
		x.publish(1, editAccount(t, "jose", "change-2", 2, 2))
		x.publish(0, editAccount(t, "maria", "change-3", 3, 2))

		x.log.SetAway(true)
		late := editAccount(t, "maria", "change-4", 4, 3)
		late.Timeout = 5 * time.Second
		x.publish(0, late)
		call(0)
		x.log.SetAway(false)
		x.log.LoseAnswers(1)
		x.publish(0, late)
		x.publish(1, late)

		x.operate(0, "GET", edits.DiffPath+"?from=1", "", nil)
		x.operate(0, "GET", edits.RollbackPath+"?to=1", "", nil)
		x.publish(0, edits.PublishRequest{Change: change.Change{ID: "change-5", Operator: "maria", Edits: []change.Edit{
			{Key: change.Key{Kind: change.AccountKind, Name: "night-desk"}, Replaces: 4},
		}}})
		x.pass(2 * time.Second)
		call(1)
		x.operate(1, "GET", edits.ItemsPath+"?kind=Account&name=mill-clerks", "", nil)
	})
}
