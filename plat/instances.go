package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/tidwall/gjson"
	"go.uber.org/zap"

	"filberttrack.example/track"
)

const opListInstances = "list instances"

// maxRanks is the largest number of ranks that an instance may have.
const maxRanks = 1 << 16

// InstanceList is a client of the instance list service. It implements
// track.InstanceList.
type InstanceList struct {
	client *http.Client
	base   *url.URL
	logger *zap.Logger
}

var _ track.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns a client of the instance list service at the base URL.
func NewInstanceList(client *http.Client, base *url.URL, logger *zap.Logger) *InstanceList {
	return &InstanceList{client: client, base: base, logger: logger}
}

// Instances implements track.InstanceList. Entries that can't be decoded or don't describe an instance are
// logged and left out.
func (l *InstanceList) Instances(ctx context.Context) ([]track.Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base.JoinPath("instances").String(), nil)
	if err != nil {
		return nil, track.Fail(opListInstances, track.Invalid, err)
	}
	body, err := fetch(ctx, l.client, opListInstances, track.Unavailable, req)
	if err != nil {
		return nil, err
	}
	// Unlike encoding/json, which gives up a list with a very deeply nested entry, gjson doesn't look into them.
	list := gjson.ParseBytes(body)
	isWhole := list.IsArray() && bytes.HasSuffix(bytes.TrimSpace(body), []byte("]"))
	if !isWhole && list.Type != gjson.Null {
		return nil, track.Fail(opListInstances, track.Unavailable, errNoList)
	}
	var instances []track.Instance
	for _, entry := range list.Array() {
		instance, err := decodeInstance([]byte(entry.Raw))
		if err != nil {
			l.logger.Warn("entry of the instance list left out", zap.String("ID", string(instance.ID)), zap.Error(err))
			continue
		}
		instances = append(instances, instance)
	}
	return instances, nil
}

var errNoList = errors.New("the response is no complete JSON list")

// decodeInstance decodes and validates an entry of the list.
func decodeInstance(entry []byte) (track.Instance, error) {
	var i track.Instance
	if err := json.Unmarshal(entry, &i); err != nil {
		return i, err
	}
	switch {
	case i.ID == "":
		return i, errors.New("the entry has no ID")
	case i.Role != track.RoleEntry && i.Role != track.RoleAgent && i.Role != track.RoleBackendServer:
		return i, fmt.Errorf("role %q is unknown", i.Role)
	case i.State != track.InstanceLive && i.State != track.InstanceLeaving:
		return i, fmt.Errorf("state %q is unknown", i.State)
	case i.Ranks < 0 || i.Ranks > maxRanks:
		return i, fmt.Errorf("%d ranks, must be 0 to %d", i.Ranks, maxRanks)
	case i.Address == "":
		// Instances that nobody calls have no address.
		return i, nil
	}
	host, port, err := net.SplitHostPort(i.Address)
	if err != nil {
		return i, err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return i, fmt.Errorf("address %q has no host or no port", i.Address)
	}
	return i, nil
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
