// Package models provides the step that lists the models.
package models

import (
	"context"
	"encoding/json"
	"net/http"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
)

// owner is the owner that the model list names.
const owner = "filberttrack"

// Step answers with all models, or with the one that the path names.
type Step struct {
	directory track.Directory
}

// New returns the step.
func New(directory track.Directory) *Step {
	return &Step{directory: directory}
}

// String returns the name of the step.
func (*Step) String() string { return "list models" }

// modelObject is a model in the callers' API.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelList is a list of models in the callers' API.
type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

// Run implements flow.Step.
func (s *Step) Run(_ context.Context, x *flow.Exchange) error {
	name := x.Request.PathValue("model")
	if name == "" {
		list := modelList{Object: "list", Data: []modelObject{}}
		for _, m := range s.directory.Models() {
			list.Data = append(list.Data, object(m))
		}
		return write(x.Writer, list)
	}
	model, ok := s.directory.Model(name)
	if !ok {
		return flow.Invalid(http.StatusNotFound, "model_not_found", "model", "the model %q does not exist", name)
	}
	return write(x.Writer, object(model))
}

func object(m track.Model) modelObject {
	return modelObject{ID: m.Name, Object: "model", OwnedBy: owner}
}

func write(w http.ResponseWriter, body any) error {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(flow.HeaderOutcome, track.Completed.String())
	return json.NewEncoder(w).Encode(body)
}
