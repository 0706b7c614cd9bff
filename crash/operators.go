package crash

import (
	"fmt"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"filberttrack.example/track/admin"
	"filberttrack.example/track/parts"
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
	// Standing is "Suspect" or "Quarantined" and, for a part of prompts, "PartOnProbation" or
	// "PartConvicted".
	Standing string
	// LeftSeconds is the time until the record expires, in seconds.
	LeftSeconds float64
}

// ReleaseRequest is the request to end a quarantine.
type ReleaseRequest struct {
	// Fingerprint is the hexadecimal fingerprint, as listed.
	Fingerprint string
}

// Register adds the handlers for ListPath and ReleasePath to the operators' listener. They
// cover the fingerprints and the parts of prompts. Guard wraps the handler of changes and
// admits authorized operators only; if it is nil, all changes are refused.
func Register(h *admin.Handler, t *Tracker, partsTracker *parts.Tracker, guard func(http.Handler) http.Handler) {
	if guard == nil {
		guard = refuseAll
	}
	o := operators{tracker: t, parts: partsTracker}
	h.Handle("GET "+ListPath, http.HandlerFunc(o.serveList))
	h.Handle("POST "+ReleasePath, guard(http.HandlerFunc(o.serveRelease)))
}

// operators serves the operators' requests.
type operators struct {
	tracker *Tracker
	parts   *parts.Tracker
}

func refuseAll(http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		admin.WriteError(w, http.StatusUnauthorized, "no_admin_token",
			"no admin token is configured, so this endpoint accepts no changes")
	})
}

func (o operators) serveList(w http.ResponseWriter, _ *http.Request) {
	listed := []ListedFingerprint{}
	for _, e := range o.tracker.List() {
		listed = append(listed, ListedFingerprint{
			Fingerprint: fmt.Sprintf("%016x", e.Fingerprint),
			Standing:    e.Standing.String(),
			LeftSeconds: e.Remaining.Seconds(),
		})
	}
	for _, p := range o.parts.Barred() {
		standing := "PartOnProbation"
		if p.Convicted {
			standing = "PartConvicted"
		}
		listed = append(listed, ListedFingerprint{
			Fingerprint: fmt.Sprintf("%016x", uint64(p.Part)), Standing: standing, LeftSeconds: p.Remaining.Seconds(),
		})
	}
	admin.WriteJSON(w, http.StatusOK, listed)
}

func (o operators) serveRelease(w http.ResponseWriter, r *http.Request) {
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
	if !o.tracker.Release(fingerprint) && !o.parts.Release(parts.Part(fingerprint)) {
		admin.WriteError(w, http.StatusNotFound, "not_quarantined",
			"the fingerprint is not quarantined on this entry")
		return
	}
	o.tracker.logger.Info("quarantine released by operator", zap.String("fingerprint", release.Fingerprint))
	admin.WriteJSON(w, http.StatusOK, release)
}
