package crash

import (
	"fmt"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"filberttrack.example/track/admin"
)

// Paths of the operators' listener.
const (
	// ListPath lists suspects and quarantined fingerprints.
	ListPath = "/quarantine"
	// ReleasePath takes a Release.
	ReleasePath = "/quarantine/release"
)

// maxReleaseBytes bounds the body of a release.
const maxReleaseBytes = 4 << 10

// Listed is one fingerprint as operators see it.
type Listed struct {
	Fingerprint string
	Standing    string
	// LeftSeconds is the time until it is forgotten, in s.
	LeftSeconds float64
}

// Release asks for the end of a quarantine.
type Release struct {
	// Fingerprint is the hexadecimal fingerprint, as listed.
	Fingerprint string
}

// Register adds the list and the release to the operators' listener. Guard lets
// only those through that may change something; nil lets nobody through.
func (t *Tracker) Register(h *admin.Handler, guard func(http.Handler) http.Handler) {
	if guard == nil {
		guard = refuseAll
	}
	h.Handle("GET "+ListPath, http.HandlerFunc(t.serveList))
	h.Handle("POST "+ReleasePath, guard(http.HandlerFunc(t.serveRelease)))
}

func refuseAll(http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		admin.WriteFailure(w, http.StatusUnauthorized, "no_admin_token",
			"the settings name no admin token, so nothing can be changed here")
	})
}

func (t *Tracker) serveList(w http.ResponseWriter, _ *http.Request) {
	listed := []Listed{}
	for _, e := range t.List() {
		listed = append(listed, Listed{
			Fingerprint: fmt.Sprintf("%016x", e.Fingerprint),
			Standing:    e.Standing.String(),
			LeftSeconds: e.Left.Seconds(),
		})
	}
	admin.WriteJSON(w, http.StatusOK, listed)
}

func (t *Tracker) serveRelease(w http.ResponseWriter, r *http.Request) {
	release, err := admin.ReadJSON[Release](http.MaxBytesReader(w, r.Body, maxReleaseBytes))
	if err != nil {
		admin.WriteFailure(w, http.StatusBadRequest, "invalid_json", err.Error())
		return
	}
	fingerprint, err := strconv.ParseUint(release.Fingerprint, 16, 64)
	if err != nil {
		admin.WriteFailure(w, http.StatusBadRequest, "invalid_fingerprint", err.Error())
		return
	}
	if !t.Release(fingerprint) {
		admin.WriteFailure(w, http.StatusNotFound, "not_quarantined", "the fingerprint is not in quarantine here")
		return
	}
	t.logger.Info("quarantine released by operator", zap.String("fingerprint", release.Fingerprint))
	admin.WriteJSON(w, http.StatusOK, release)
}
