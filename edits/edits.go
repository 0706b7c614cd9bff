// Package edits serves the part of the operators' HTTP API that shows and
// changes the configuration.
package edits

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track/admin"
	"filberttrack.example/track/change"
	"filberttrack.example/track/config"
)

// Paths of the API on the operators' listener.
const (
	ItemsPath    = "/config/items"
	HistoryPath  = "/config/history"
	DiffPath     = "/config/diff"
	RollbackPath = "/config/rollback"
	StatusPath   = "/config/status"
	ChangesPath  = "/config/changes"
)

// Timeouts and limits of a publication.
const (
	defaultVerdictTimeout     = 20 * time.Second
	defaultPropagationTimeout = 30 * time.Second
	maxTimeout                = 10 * time.Minute
	maxBodyBytes              = 32 << 20
)

// PublishRequest is the body of a request to publish a change.
type PublishRequest struct {
	// Change holds the ID, the operator and the edits. The time is set by the
	// server, and BaseSeq as well if it is 0.
	Change change.Change
	// DryRun requests the verdict that the change would get. Nothing is
	// published.
	DryRun bool
	// Wait delays the response until an accepted change is in force on all known
	// instances, or the timeout has passed.
	Wait bool
	// Timeout limits the wait for the verdict, and separately the wait for the
	// change to be in force everywhere; 0 selects the defaults.
	Timeout time.Duration
}

// PublishResult is the response to a PublishRequest.
type PublishResult struct {
	Decision change.Decision `json:"Decided"`
	DryRun   bool
	// Propagation says on which instances the change is in force. It is set for an
	// accepted change if PublishRequest.Wait was set.
	Propagation *config.Propagation `json:"Spread"`
}

// Options holds the dependencies of an API.
type Options struct {
	Store *config.Store
	// Guard wraps the handlers that change the configuration and rejects
	// requests that are not authorized; nil rejects all of them.
	Guard  func(http.Handler) http.Handler
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// API serves the configuration to operators and publishes their changes.
type API struct {
	options Options
}

// New returns an API. Register adds it to a handler.
func New(o Options) *API {
	if o.Guard == nil {
		o.Guard = denyAll
	}
	return &API{options: o}
}

func denyAll(http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		admin.WriteError(w, http.StatusUnauthorized, "no_admin_token",
			"the settings name no admin token, so nothing can be changed here")
	})
}

// Register adds the API to the handler of the operators' listener.
func (a *API) Register(h *admin.Handler) {
	h.Handle("GET "+ItemsPath, stateHandler(a, a.items))
	h.Handle("GET "+HistoryPath, stateHandler(a, a.history))
	h.Handle("GET "+DiffPath, stateHandler(a, a.diff))
	h.Handle("GET "+RollbackPath, stateHandler(a, a.rollback))
	h.Handle("GET "+StatusPath, http.HandlerFunc(a.status))
	h.Handle("POST "+ChangesPath, a.options.Guard(http.HandlerFunc(a.publish)))
}

// stateHandler returns a handler that responds with the result of a query on the
// state.
func stateHandler[T any](a *API, query func(*change.State, *http.Request) (T, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var value T
		var queryErr error
		err := a.options.Store.View(func(s *change.State) { value, queryErr = query(s, r) })
		switch {
		case err != nil:
			admin.WriteError(w, http.StatusServiceUnavailable, "not_ready", err.Error())
		case queryErr != nil:
			admin.WriteError(w, http.StatusBadRequest, "invalid_request", queryErr.Error())
		default:
			admin.WriteJSON(w, http.StatusOK, value)
		}
	})
}

// items returns the objects, filtered by kind and name if these are given.
func (a *API) items(s *change.State, r *http.Request) ([]change.Item, error) {
	kind, name := change.ObjectKind(r.FormValue("kind")), r.FormValue("name")
	items := []change.Item{}
	for _, item := range s.Items() {
		if (kind == "" || item.Kind == kind) && (name == "" || item.Name == name) {
			items = append(items, item)
		}
	}
	return items, nil
}

func (a *API) history(s *change.State, _ *http.Request) ([]change.Decision, error) {
	return s.History(), nil
}

func (a *API) diff(s *change.State, r *http.Request) ([]change.Difference, error) {
	from, err := parseVersion(r, "from")
	if err != nil {
		return nil, err
	}
	to := s.Version()
	if r.FormValue("to") != "" {
		if to, err = parseVersion(r, "to"); err != nil {
			return nil, err
		}
	}
	return s.Diff(from, to)
}

// rollback returns the edits that a rollback would publish.
func (a *API) rollback(s *change.State, r *http.Request) ([]change.Edit, error) {
	to, err := parseVersion(r, "to")
	if err != nil {
		return nil, err
	}
	return s.RollbackEdits(to)
}

func parseVersion(r *http.Request, parameter string) (uint64, error) {
	v, err := strconv.ParseUint(r.FormValue(parameter), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s must be a version number", parameter)
	}
	return v, nil
}

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	admin.WriteJSON(w, http.StatusOK, a.options.Store.Status())
}

func (a *API) publish(w http.ResponseWriter, r *http.Request) {
	var p PublishRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		admin.WriteError(w, http.StatusBadRequest, "invalid_json", err.Error())
		return
	}
	result, err := a.execute(r.Context(), p)
	if err != nil {
		a.writeError(w, p.Change.ID, err)
		return
	}
	admin.WriteJSON(w, http.StatusOK, result)
}

// execute publishes a change and returns the verdict read back from the log. In a
// dry run it only evaluates the change.
func (a *API) execute(ctx context.Context, p PublishRequest) (PublishResult, error) {
	c := p.Change
	c.Time = a.options.Clock.Now().UTC()
	if c.BaseSeq == 0 {
		c.BaseSeq = a.options.Store.Position().Seq
	}
	if p.DryRun {
		d, err := a.options.Store.DryRun(c)
		return PublishResult{Decision: d, DryRun: true}, err
	}
	verdictCtx, cancel := clockwork.WithTimeout(ctx, a.options.Clock, timeoutOrDefault(p.Timeout, defaultVerdictTimeout))
	defer cancel()
	d, err := a.options.Store.Publish(verdictCtx, c)
	result := PublishResult{Decision: d}
	if err != nil || !p.Wait || !d.Verdict.Accepted {
		return result, err
	}
	waitCtx, cancel := clockwork.WithTimeout(ctx, a.options.Clock, timeoutOrDefault(p.Timeout, defaultPropagationTimeout))
	defer cancel()
	propagation := a.options.Store.AwaitPropagation(waitCtx, d.Verdict.Version)
	result.Propagation = &propagation
	return result, nil
}

// timeoutOrDefault returns the requested timeout, limited to maxTimeout, or the
// default if none is requested.
func timeoutOrDefault(requested, defaultTimeout time.Duration) time.Duration {
	if requested <= 0 {
		return defaultTimeout
	}
	return min(requested, maxTimeout)
}

func (a *API) writeError(w http.ResponseWriter, changeID string, err error) {
	a.options.Logger.Warn("publication failed", zap.String("Change", changeID), zap.Error(err))
	var failure *config.Error
	if !errors.As(err, &failure) {
		admin.WriteError(w, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	switch failure.Kind {
	case config.Unknown:
		admin.WriteError(w, http.StatusGatewayTimeout, "verdict_unknown", fmt.Sprintf(
			"the verdict on change %s could not be read; it may yet be accepted; publish it again with the same ID to learn the verdict",
			changeID))
	case config.Invalid:
		admin.WriteError(w, http.StatusBadRequest, "invalid_change", err.Error())
	case config.NotReady:
		admin.WriteError(w, http.StatusServiceUnavailable, "not_ready", err.Error())
	default:
		admin.WriteError(w, http.StatusConflict, failure.Kind.String(), err.Error())
	}
}
