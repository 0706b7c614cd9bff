package send

import (
	"net/http"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/frames"
)

// reset discards what a failed attempt has added to the response, and starts a
// new transcript for a streamed chat completion. No part may have been sent to
// the caller.
func (e *execution) reset() {
	e.response.Reset()
	call := &e.exchange.Call
	if call.Kind != track.GenerationCall || !call.Stream {
		return
	}
	transcript, err := frames.NewTranscript(call.Body, call.IncludeUsage)
	if err != nil {
		e.step.options.Logger.Warn("generation can't be resumed", zap.Error(err))
		return
	}
	e.transcript = transcript
}

// prepareResume prepares to continue on another replica a chat completion of
// which the caller has received a part. It returns nil if the response is
// complete, or else the refusal and whether the chat completion can be
// continued.
func (e *execution) prepareResume(message string) (*flow.RefusalError, bool) {
	refusal := e.newRefusal(http.StatusBadGateway, "backend_server_failed", message)
	if e.transcript == nil {
		return refusal, false
	}
	if e.transcript.Finished() {
		return e.finishGeneration(nil), false
	}
	body, err := e.transcript.Resume()
	if track.IsKind(err, frames.TokenLimitReached) {
		return e.finishGeneration(e.transcript.FinalChunk()), false
	}
	e.step.options.Logger.Info("resuming generation",
		zap.String("RequestID", string(e.exchange.Call.ID)),
		zap.Uint32("Attempt", e.attemptNumber),
		zap.Int("TextBytes", len(e.transcript.Text())),
		zap.Error(err))
	if err != nil {
		return refusal, false
	}
	e.resumeBody = body
	return refusal, true
}

// finishGeneration completes a response of which the caller has received the
// whole text. The final chunks, if any, are sent first.
func (e *execution) finishGeneration(finalChunks []byte) *flow.RefusalError {
	if len(finalChunks) > 0 {
		if err := e.response.WriteData(finalChunks); err != nil {
			return e.newRefusal(http.StatusBadGateway, "answer_not_relayed", err.Error())
		}
	}
	if err := e.response.Finish(track.Completed); err != nil {
		return e.newRefusal(http.StatusBadGateway, "answer_not_relayed", err.Error())
	}
	return nil
}
