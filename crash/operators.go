package crash

import (
	"fmt"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"filberttrack.example/track/admin"
)

// The paths on the operators' listener.
const (
	// ListPath answers a GET with a list of ListedFingerprint: the suspects and the quarantined.
	ListPath = "/quarantine"
	// ReleasePath takes a POST of a ReleaseRequest.
	ReleasePath = "/quarantine/release"
)

// maxReleaseBytes is the largest accepted body of a ReleaseRequest.
const maxReleaseBytes = 4 << 10

// ListedFingerprint is one suspect or quarantined fingerprint in the list for operators.
type ListedFingerprint struct {
	// Fingerprint is the fingerprint as 16 hexadecimal digits.
	Fingerprint string
	// Standing is "Suspect" or "Quarantined".
	Standing string
	// LeftSeconds is the time until the record expires, in seconds.
	LeftSeconds float64
}

// ReleaseRequest is the request to end a quarantine.
type ReleaseRequest struct {
	// Fingerprint is the hexadecimal fingerprint, as listed.
	Fingerprint string
}

// Register adds the handlers for ListPath and ReleasePath to the operators' listener.
// Guard wraps the handler of changes and admits authorized operators only; if it is nil,
// all changes are refused.
func (t *Tracker) Register(h *admin.Handler, guard func(http.Handler) http.Handler) {
	if guard == nil {
		guard = refuseAll
	}
	h.Handle("GET "+ListPath, http.HandlerFunc(t.serveList))
	h.Handle("POST "+ReleasePath, guard(http.HandlerFunc(t.serveRelease)))
}

func refuseAll(http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		admin.WriteError(w, http.StatusUnauthorized, "no_admin_token",
			"no admin token is configured, so this endpoint accepts no changes")
	})
}

func (t *Tracker) serveList(w http.ResponseWriter, _ *http.Request) {
	listed := []ListedFingerprint{}
	for _, e := range t.List() {
		listed = append(listed, ListedFingerprint{
			Fingerprint: fmt.Sprintf("%016x", e.Fingerprint),
			Standing:    e.Standing.String(),
			LeftSeconds: e.Remaining.Seconds(),
		})
	}
	admin.WriteJSON(w, http.StatusOK, listed)
}

func (t *Tracker) serveRelease(w http.ResponseWriter, r *http.Request) {
	release, err := admin.ReadJSON[ReleaseRequest](http.MaxBytesReader(w, r.Body, maxReleaseBytes))
	if err != nil {
		admin.WriteError(w, http.StatusBadRequest, "invalid_json", err.Error())
		return
	}
	fingerprint, err := strconv.ParseUint(release.Fingerprint, 16, 64)
	if err != nil {
		admin.WriteError(w, http.StatusBadRequest, "invalid_fingerprint", err.Error())
		return
	}
	if !t.Release(fingerprint) {
		admin.WriteError(w, http.StatusNotFound, "not_quarantined",
			"the fingerprint is not quarantined on this entry")
		return
	}
	t.logger.Info("quarantine released by operator", zap.String("fingerprint", release.Fingerprint))
	admin.WriteJSON(w, http.StatusOK, release)
}
