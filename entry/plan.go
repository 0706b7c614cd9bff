package entry

import (
	"context"
	"net/http"
	"time"

	"filberttrack.example/track/entry/claim"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/entry/ident"
	"filberttrack.example/track/entry/models"
	"filberttrack.example/track/entry/parse"
	"filberttrack.example/track/entry/queue"
	"filberttrack.example/track/entry/quota"
	"filberttrack.example/track/entry/screen"
	"filberttrack.example/track/entry/send"
)

// chatPlan lists the steps of a generation.
func chatPlan(o Options) []flow.Step {
	return []flow.Step{
		ident.New(o.Directory),
		parse.NewChat(o.Directory, o.Parse),
		screen.New(o.Crashes, o.Logger),
		quota.New(o.Limiter, o.Logger),
		queue.New(o.Admission, o.Capacity, o.Logger),
		sendStep(o),
	}
}

// servicePlan lists the steps of a call to a plain service.
func servicePlan(o Options) []flow.Step {
	return []flow.Step{
		ident.New(o.Directory),
		parse.NewPlain(o.Directory, o.Parse),
		screen.New(o.Crashes, o.Logger),
		quota.New(o.Limiter, o.Logger),
		queue.New(o.Admission, o.Capacity, o.Logger),
		claimStep(o),
		sendStep(o),
	}
}

// modelsPlan lists the steps of a look at the models.
func modelsPlan(o Options) []flow.Step {
	return []flow.Step{
		ident.New(o.Directory),
		models.New(o.Directory),
	}
}

// notFoundPlan lists the steps of a request for an unknown path.
func notFoundPlan() []flow.Step {
	return []flow.Step{notFound{}}
}

func claimStep(o Options) flow.Step {
	return claim.New(claim.Options{
		Book:         o.Claims,
		Crashes:      o.Crashes,
		Router:       o.Router,
		Dialer:       o.Dialer,
		Clock:        o.Clock,
		Logger:       o.Logger,
		Limits:       o.Relay,
		LogDecisions: o.LogDecisions,
	})
}

func sendStep(o Options) flow.Step {
	return send.New(send.Options{
		Router:       o.Router,
		Dialer:       o.Dialer,
		Clock:        o.Clock,
		Logger:       o.Logger,
		Limits:       o.Relay,
		Drops:        o.Drops,
		Retries:      o.Retries,
		Crashes:      o.Crashes,
		Capacity:     o.Capacity,
		Expected:     func(target string) time.Duration { return o.Admission.ForTarget(target).ExpectedDuration() },
		LogDecisions: o.LogDecisions,
	})
}

// notFound refuses any request.
type notFound struct{}

// String returns the name of the step.
func (notFound) String() string { return "refuse unknown path" }

// Run implements flow.Step.
func (notFound) Run(_ context.Context, x *flow.Exchange) error {
	return flow.Invalid(http.StatusNotFound, "unknown_path", "", "the path %q does not exist", x.Request.URL.Path)
}
