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

// chatSteps returns the steps of a chat completion.
func chatSteps(o Options) []flow.Step {
	return []flow.Step{
		ident.New(o.Directory),
		parse.NewChat(o.Directory, o.RequestLimits),
		screen.New(o.Crashes, o.Parts, o.Logger),
		quota.New(o.Limiter, o.Logger),
		queue.New(o.Admission, o.Capacity, o.Logger),
		sendStep(o),
	}
}

// serviceSteps returns the steps of a call to a plain service.
func serviceSteps(o Options) []flow.Step {
	return []flow.Step{
		ident.New(o.Directory),
		parse.NewPlain(o.Directory, o.RequestLimits),
		screen.New(o.Crashes, o.Parts, o.Logger),
		quota.New(o.Limiter, o.Logger),
		queue.New(o.Admission, o.Capacity, o.Logger),
		claimStep(o),
		sendStep(o),
	}
}

// modelSteps returns the steps of a request for the model list or one model.
func modelSteps(o Options) []flow.Step {
	return []flow.Step{
		ident.New(o.Directory),
		models.New(o.Directory),
	}
}

// notFoundSteps returns the steps of a request to an unknown path.
func notFoundSteps() []flow.Step {
	return []flow.Step{notFound{}}
}

func claimStep(o Options) flow.Step {
	return claim.New(claim.Options{
		Claims:       o.Claims,
		Crashes:      o.Crashes,
		Router:       o.Router,
		Dialer:       o.Dialer,
		Clock:        o.Clock,
		Logger:       o.Logger,
		Limits:       o.ResponseLimits,
		LogDecisions: o.LogDecisions,
	})
}

func sendStep(o Options) flow.Step {
	return send.New(send.Options{
		Router:           o.Router,
		Dialer:           o.Dialer,
		Clock:            o.Clock,
		Logger:           o.Logger,
		Limits:           o.ResponseLimits,
		Drops:            o.FrameDrops,
		Retries:          o.Retries,
		Crashes:          o.Crashes,
		Parts:            o.Parts,
		Capacity:         o.Capacity,
		ExpectedDuration: func(target string) time.Duration { return o.Admission.ForTarget(target).ExpectedDuration() },
		LogDecisions:     o.LogDecisions,
	})
}

// notFound is a step that refuses every request.
type notFound struct{}

// String implements flow.Step.
func (notFound) String() string { return "refuse unknown path" }

// Run implements flow.Step.
func (notFound) Run(_ context.Context, x *flow.Exchange) error {
	return flow.ClientError(http.StatusNotFound, "unknown_path", "", "the path %q does not exist", x.Request.URL.Path)
}
