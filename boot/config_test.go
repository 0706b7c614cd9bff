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

// authorizeOperators admits only calls with the operators' token of the tests.
func authorizeOperators(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer operators" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// callAsOperator sends a request of an operator to an entry and records the request and
// the response.
func (sim *simulation) callAsOperator(entry int, method, path, token string, body any) {
	data, err := json.Marshal(body)
	assert.NilError(sim.t, err)
	request := httptest.NewRequest(method, path, bytes.NewReader(data))
	request.Header.Set("Authorization", "Bearer "+token)
	sim.record("> operator to entry-%d %s %s", entry+1, method, path)
	response := httptest.NewRecorder()
	sim.entries[entry].AdminHandler().ServeHTTP(response, request)
	sim.record("< %d %s", response.Code, strings.TrimSpace(response.Body.String()))
}

// publish has an operator publish a configuration change at an entry.
func (sim *simulation) publish(entry int, p edits.PublishRequest) {
	sim.callAsOperator(entry, "POST", edits.ChangesPath, "operators", p)
}

// accountChange returns a change that sets the weight of a client account, provided
// that the account is still at the given version.
func accountChange(t *testing.T, operator, id string, weight float64, replaces uint64) edits.PublishRequest {
	value, err := change.EncodeObject(track.ClientAccount{
		Name: "night-desk", TokenSHA256: change.HexSHA256([]byte(token + "-2")), Weight: weight,
	})
	assert.NilError(t, err)
	return edits.PublishRequest{Change: change.Change{ID: id, Operator: operator, Edits: []change.Edit{{
		Key: change.Key{Kind: change.AccountKind, Name: "night-desk"}, Replaces: replaces, Value: value,
	}}}}
}

// Follows configuration changes from an operator at one entry to a client of another:
// a dry run, verdicts, conflicting changes, an outage of the log, and a rollback.
func TestConfigChanges(t *testing.T) {
	checkTranscript(t, "session-config", 2, func(_ context.Context, sim *simulation) {
		listModels := func(entry int) {
			sim.send(entry, "GET", "/v1/models", "", "Authorization", "Bearer "+token+"-2")
		}
		first := accountChange(t, "maria", "change-1", 1, 0)
		sim.callAsOperator(0, "POST", edits.ChangesPath, "guessed", first)
		dryRun := first
		dryRun.DryRun = true
		sim.publish(0, dryRun)
		listModels(0)
		sim.publish(0, first)
		listModels(0)
		sim.advance(2 * time.Second)
		listModels(1)
		sim.publish(1, accountChange(t, "jose", "change-2", 2, 2))
		sim.publish(0, accountChange(t, "maria", "change-3", 3, 2))

		sim.log.SetUnavailable(true)
		late := accountChange(t, "maria", "change-4", 4, 3)
		late.Timeout = 5 * time.Second
		sim.publish(0, late)
		listModels(0)
		sim.log.SetUnavailable(false)
		sim.log.LoseResponses(1)
		sim.publish(0, late)
		sim.publish(1, late)

		sim.callAsOperator(0, "GET", edits.DiffPath+"?from=1", "", nil)
		sim.callAsOperator(0, "GET", edits.RollbackPath+"?to=1", "", nil)
		sim.publish(0, edits.PublishRequest{Change: change.Change{ID: "change-5", Operator: "maria", Edits: []change.Edit{
			{Key: change.Key{Kind: change.AccountKind, Name: "night-desk"}, Replaces: 4},
		}}})
		sim.advance(2 * time.Second)
		listModels(1)
		sim.callAsOperator(1, "GET", edits.ItemsPath+"?kind=Account&name=mill-clerks", "", nil)
	})
}
