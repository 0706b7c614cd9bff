package send

import (
	"net/http"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/frames"
)

// reset drops what an attempt left behind before the caller received anything.
func (r *run) reset() {
	r.answer.Reset()
	call := &r.exchange.Call
	if call.Kind != track.Generation || !call.Stream {
		return
	}
	transcript, err := frames.NewTranscript(call.Body, call.IncludeUsage)
	if err != nil {
		r.step.options.Logger.Warn("generation can't be resumed", zap.Error(err))
		return
	}
	r.transcript = transcript
}

// resume prepares the continuation of a generation of which the caller has a
// part. It reports whether another replica may go on.
func (r *run) resume(fault string) (*flow.RefusalError, bool) {
	failed := r.refuse(http.StatusBadGateway, "backend_server_failed", fault)
	if r.transcript == nil {
		return failed, false
	}
	if r.transcript.Finished() {
		return r.conclude(nil), false
	}
	body, err := r.transcript.Resume()
	if track.IsKind(err, frames.Exhausted) {
		return r.conclude(r.transcript.Ending()), false
	}
	r.step.options.Logger.Info("resume generation",
		zap.String("RequestID", string(r.exchange.Call.ID)),
		zap.Uint32("Attempt", r.number),
		zap.Int("TextBytes", len(r.transcript.Text())),
		zap.Error(err))
	if err != nil {
		return failed, false
	}
	r.body = body
	return failed, true
}

// conclude ends an answer of which the caller has the whole text.
func (r *run) conclude(ending []byte) *flow.RefusalError {
	if len(ending) > 0 {
		if err := r.answer.Data(ending); err != nil {
			return r.refuse(http.StatusBadGateway, "answer_not_relayed", err.Error())
		}
	}
	if err := r.answer.Finish(track.Completed); err != nil {
		return r.refuse(http.StatusBadGateway, "answer_not_relayed", err.Error())
	}
	return nil
}
