// Package models provides the step that answers requests for the available
// models.
package models

import (
	"context"
	"encoding/json"
	"net/http"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
)

// owner is the owned_by value of every model.
const owner = "filberttrack"

// Step responds with all models, or with the one named in the path.
type Step struct {
	directory track.Directory
}

// New returns a Step that reads models from the directory.
func New(directory track.Directory) *Step {
	return &Step{directory: directory}
}

// String implements flow.Step.
func (*Step) String() string { return "list models" }

// modelObject is the JSON form of a model.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelList is the JSON form of a list of models.
type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

// Run implements flow.Step. It expects the path value model, which is empty for
// the list of all models.
func (s *Step) Run(_ context.Context, x *flow.Exchange) error {
	name := x.Request.PathValue("model")
	if name == "" {
		list := modelList{Object: "list", Data: []modelObject{}}
		for _, m := range s.directory.Models() {
			list.Data = append(list.Data, newModelObject(m))
		}
		return writeJSON(x.Writer, list)
	}
	model, ok := s.directory.Model(name)
	if !ok {
		return flow.UnknownError(s.directory, http.StatusNotFound, "model_not_found", "model", "the model %q does not exist", name)
	}
	return writeJSON(x.Writer, newModelObject(model))
}

func newModelObject(m track.Model) modelObject {
	return modelObject{ID: m.Name, Object: "model", OwnedBy: owner}
}

func writeJSON(w http.ResponseWriter, body any) error {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(flow.HeaderOutcome, track.Completed.String())
	return json.NewEncoder(w).Encode(body)
}
