// Package edits serves the part of the operators' listener that shows and
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

// The paths of the handler.
const (
	ItemsPath    = "/config/items"
	HistoryPath  = "/config/history"
	DiffPath     = "/config/diff"
	RollbackPath = "/config/rollback"
	StatusPath   = "/config/status"
	ChangesPath  = "/config/changes"
)

// The bounds of a publication.
const (
	defaultVerdictTimeout = 20 * time.Second
	defaultSpreadTimeout  = 30 * time.Second
	maxTimeout            = 10 * time.Minute
	maxBodyBytes          = 32 << 20
)

// Publication asks for a change to be published.
type Publication struct {
	// Change holds the ID, the operator and the edits.
	Change change.Change
	// DryRun asks for the verdict that the change would get, and publishes
	// nothing.
	DryRun bool
	// Wait asks to wait until an accepted change is in force everywhere.
	Wait bool
	// Timeout bounds the wait for the verdict, and again the wait after it; 0
	// stands for the defaults.
	Timeout time.Duration
}

// Published is the answer to a Publication.
type Published struct {
	Decided change.Decided
	DryRun  bool
	// Spread says where the change is in force, if that was asked for.
	Spread *config.Spread
}

// Options holds what the handler is made of.
type Options struct {
	Store *config.Store
	// Guard lets only those through that may change the configuration; nil lets
	// nobody through.
	Guard  func(http.Handler) http.Handler
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// API serves the configuration to operators.
type API struct {
	o Options
}

// New returns the API; Register adds it to a listener.
func New(o Options) *API {
	if o.Guard == nil {
		o.Guard = refuseAll
	}
	return &API{o: o}
}

func refuseAll(http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		admin.WriteFailure(w, http.StatusUnauthorized, "no_admin_token", "the settings name no admin token, so nothing can be changed here")
	})
}

// Register adds the API to the operators' listener.
func (a *API) Register(h *admin.Handler) {
	h.Handle("GET "+ItemsPath, read(a, a.items))
	h.Handle("GET "+HistoryPath, read(a, a.history))
	h.Handle("GET "+DiffPath, read(a, a.diff))
	h.Handle("GET "+RollbackPath, read(a, a.rollback))
	h.Handle("GET "+StatusPath, http.HandlerFunc(a.status))
	h.Handle("POST "+ChangesPath, a.o.Guard(http.HandlerFunc(a.publish)))
}

// read serves what a function takes from the state.
func read[T any](a *API, take func(*change.State, *http.Request) (T, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var value T
		var taken error
		err := a.o.Store.View(func(s *change.State) { value, taken = take(s, r) })
		switch {
		case err != nil:
			admin.WriteFailure(w, http.StatusServiceUnavailable, "not_ready", err.Error())
		case taken != nil:
			admin.WriteFailure(w, http.StatusBadRequest, "invalid_request", taken.Error())
		default:
			admin.WriteJSON(w, http.StatusOK, value)
		}
	})
}

// items returns the objects, limited to a kind and a name if given.
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

func (a *API) history(s *change.State, _ *http.Request) ([]change.Decided, error) {
	return s.History(), nil
}

func (a *API) diff(s *change.State, r *http.Request) ([]change.Difference, error) {
	from, err := version(r, "from")
	if err != nil {
		return nil, err
	}
	to := s.Version()
	if r.FormValue("to") != "" {
		if to, err = version(r, "to"); err != nil {
			return nil, err
		}
	}
	return s.Diff(from, to)
}

// rollback returns the edits that a rollback would publish.
func (a *API) rollback(s *change.State, r *http.Request) ([]change.Edit, error) {
	to, err := version(r, "to")
	if err != nil {
		return nil, err
	}
	return s.RollbackEdits(to)
}

func version(r *http.Request, key string) (uint64, error) {
	v, err := strconv.ParseUint(r.FormValue(key), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s must be a version", key)
	}
	return v, nil
}

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	admin.WriteJSON(w, http.StatusOK, a.o.Store.Status())
}

func (a *API) publish(w http.ResponseWriter, r *http.Request) {
	var p Publication
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		admin.WriteFailure(w, http.StatusBadRequest, "invalid_json", err.Error())
		return
	}
	published, err := a.run(r.Context(), p)
	if err != nil {
		a.fail(w, p.Change.ID, err)
		return
	}
	admin.WriteJSON(w, http.StatusOK, published)
}

// run publishes and returns the verdict that was read back.
func (a *API) run(ctx context.Context, p Publication) (Published, error) {
	c := p.Change
	c.Time = a.o.Clock.Now().UTC()
	if c.Seen == 0 {
		c.Seen = a.o.Store.Position().Seq
	}
	if p.DryRun {
		d, err := a.o.Store.Check(c)
		return Published{Decided: d, DryRun: true}, err
	}
	verdictCtx, cancel := clockwork.WithTimeout(ctx, a.o.Clock, timeout(p.Timeout, defaultVerdictTimeout))
	defer cancel()
	d, err := a.o.Store.Publish(verdictCtx, c)
	published := Published{Decided: d}
	if err != nil || !p.Wait || !d.Verdict.Accepted {
		return published, err
	}
	spreadCtx, cancel := clockwork.WithTimeout(ctx, a.o.Clock, timeout(p.Timeout, defaultSpreadTimeout))
	defer cancel()
	spread := a.o.Store.AwaitSpread(spreadCtx, d.Verdict.Version)
	published.Spread = &spread
	return published, nil
}

func timeout(asked, standard time.Duration) time.Duration {
	if asked <= 0 {
		return standard
	}
	return min(asked, maxTimeout)
}

func (a *API) fail(w http.ResponseWriter, id string, err error) {
	a.o.Logger.Warn("publication failed", zap.String("Change", id), zap.Error(err))
	var failure *config.Error
	if !errors.As(err, &failure) {
		admin.WriteFailure(w, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	switch failure.Kind {
	case config.Unknown:
		admin.WriteFailure(w, http.StatusGatewayTimeout, "verdict_unknown", fmt.Sprintf(
			"the verdict on change %s could not be read; it may yet be accepted; publish it again with the same ID to learn the verdict", id))
	case config.Invalid:
		admin.WriteFailure(w, http.StatusBadRequest, "invalid_change", err.Error())
	case config.NotReady:
		admin.WriteFailure(w, http.StatusServiceUnavailable, "not_ready", err.Error())
	default:
		admin.WriteFailure(w, http.StatusConflict, failure.Kind.String(), err.Error())
	}
}
