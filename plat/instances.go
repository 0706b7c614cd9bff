package plat

import (
	"context"
	"net/http"
	"net/url"

	"filberttrack.example/track"
)

const opListInstances = "list instances"

// InstanceList is a client of the instance list service. It implements
// track.InstanceList.
type InstanceList struct {
	client *http.Client
	base   *url.URL
}

var _ track.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns a client of the instance list service at the base URL.
func NewInstanceList(client *http.Client, base *url.URL) *InstanceList {
	return &InstanceList{client: client, base: base}
}

// Instances implements track.InstanceList.
func (l *InstanceList) Instances(ctx context.Context) ([]track.Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base.JoinPath("instances").String(), nil)
	if err != nil {
		return nil, track.Fail(opListInstances, track.Invalid, err)
	}
	return call[[]track.Instance](ctx, l.client, opListInstances, track.Unavailable, req)
}

// NewInstanceListHandler returns a handler that serves a list to the clients of
// NewInstanceList.
func NewInstanceListHandler(list track.InstanceList) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		instances, err := list.Instances(r.Context())
		writeResult(w, opListInstances, instances, err)
	})
	return mux
}
