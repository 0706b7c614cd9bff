package claims

import (
	"context"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/frames"
)

// Request is a non-idempotent request, which must not run more than once.
type Request struct {
	Key Key
	// BodySHA256 is the hexadecimal SHA-256 of method, path, query and body.
	BodySHA256 string
	// ID is the ID of this try of the request; a retry has another one.
	ID track.RequestID
	// FirstSend is set if the caller states that it has not sent the key before.
	FirstSend bool
}

// ClaimedAttempt is a claim that holds its key, and the backend server for its attempt. It
// permits one dispatch.
type ClaimedAttempt struct {
	Server track.BackendServer
	Claim  Claim
	// Offset is the offset of the claim in the log.
	Offset uint64
}

// SetDispatchFields sets the fields of a dispatch that identify its attempt and its claim.
func (t ClaimedAttempt) SetDispatchFields(d *track.Dispatch) {
	d.ID = t.Claim.Attempt
	d.Agent = t.Claim.Agent
	d.Incarnation = t.Claim.Incarnation
	d.Stamp = t.Claim.Stamp
	d.Claim = &track.Claim{
		Account:        t.Claim.Key.Account,
		Service:        t.Claim.Key.Service,
		IdempotencyKey: t.Claim.Key.Name,
		BodySHA256:     t.Claim.BodySHA256,
		Offset:         t.Offset,
	}
}

// Dispatcher chooses backend servers for the attempts of one request and dispatches
// them.
type Dispatcher interface {
	// ChooseServer returns the backend server for the next attempt.
	ChooseServer(ctx context.Context) (track.BackendServer, error)
	// Dispatch runs the claimed attempt and passes its frames to send. An error
	// of kind track.Unavailable means that the dispatch was not sent.
	Dispatch(ctx context.Context, t ClaimedAttempt, send track.FrameFunc) error
}

// Answer is the result of Execute.
type Answer struct {
	Outcome track.Outcome
	// Frames holds the answer, with its final frame, if the request ran.
	Frames []track.Frame
	// Replayed is set if an earlier request with the same key received this answer.
	Replayed bool
}

// execution is the state of one call of Execute.
type execution struct {
	executor   *Executor
	request    Request
	dispatcher Dispatcher
	// claimCount is the number of claims that this request has formed.
	claimCount uint32
	// attempt is the latest claimed attempt of this request.
	attempt ClaimedAttempt
	// barredClaim is the offset of a claim whose attempt certainly never runs; nil if
	// there is none.
	barredClaim *uint64
	// provenNotRun is set while it is certain that neither this request nor one with
	// an earlier claim in the log has run.
	provenNotRun bool
}

// Execute runs the request at most once under its key and returns its only answer,
// which may come from an earlier request with the key. If it returns an error, the
// answer's Outcome still says whether the request may have run.
func (x *Executor) Execute(ctx context.Context, request Request, dispatcher Dispatcher) (Answer, error) {
	e := &execution{executor: x, request: request, dispatcher: dispatcher, provenNotRun: request.FirstSend}
	answer, err := e.run(ctx)
	if err != nil && e.provenNotRun {
		answer.Outcome = track.NotRun
	}
	x.options.Logger.Info("request with idempotency key ended",
		zap.String("RequestID", string(request.ID)),
		zap.Stringer("Outcome", answer.Outcome),
		zap.Bool("Replayed", answer.Replayed),
		zap.String("Agent", string(e.attempt.Claim.Agent)),
		zap.Uint32("Claims", e.claimCount),
		zap.Error(err))
	return answer, err
}

func (e *execution) run(ctx context.Context) (Answer, error) {
	const op = "execute"
	if _, timed := e.request.Key.CreationTime(); !timed && e.executor.options.Settings.TimedKeysOnly {
		return Answer{Outcome: track.NotRun}, track.Fail(op, NotUUIDv7, nil)
	}
	for {
		if ctx.Err() != nil {
			return Answer{}, track.Fail(op, TimedOut, context.Cause(ctx))
		}
		info := e.executor.Lookup(e.request.Key)
		var answer *Answer
		var err error
		switch info.State {
		case StateTooOld:
			e.provenNotRun = false
			return Answer{}, track.Fail(op, TooOld, nil)
		case StateRecordsMissed:
			return Answer{}, track.Fail(op, RecordsExpired, nil)
		case StateOutcomeLost:
			e.provenNotRun = false
			return Answer{}, track.Fail(op, AttemptLost, nil)
		case StateClaimed:
			answer, err = e.handleExistingClaim(ctx, info)
		case StateAnswered:
			answer, err = e.replayFromLog(ctx, info)
		case StateUnclaimed:
			answer, err = e.claimAndDispatch(ctx, nil)
		}
		if err != nil {
			return Answer{}, err
		}
		if answer != nil {
			return *answer, nil
		}
	}
}

// handleExistingClaim returns the answer to the attempt of the claim that holds the
// key, or replaces the claim if its attempt never runs. It returns a nil answer if
// the key has to be looked up again.
func (e *execution) handleExistingClaim(ctx context.Context, info KeyInfo) (*Answer, error) {
	if err := e.checkSameBody(info); err != nil {
		return nil, err
	}
	if e.barredClaim == nil || *e.barredClaim != info.ClaimOffset {
		answer, err := e.resolveClaim(ctx, info)
		if err != nil || answer != nil {
			return answer, err
		}
	}
	return e.claimAndDispatch(ctx, &Close{Key: e.request.Key, Offset: info.ClaimOffset, Reason: ReasonBarred})
}

// checkSameBody returns an error of kind BodyMismatch if the claim that holds the key
// is for another request.
func (e *execution) checkSameBody(info KeyInfo) error {
	if e.isOwnClaim(info) {
		return nil
	}
	e.provenNotRun = false
	if !e.executor.hasSameBody(e.request.Key, e.request.BodySHA256) {
		e.provenNotRun = true
		return track.Fail("compare with existing claim", BodyMismatch, nil)
	}
	return nil
}

// claimAndDispatch appends a claim, together with the end of the claim that it
// replaces if there is one, and dispatches the attempt if the claim holds the key.
// It returns a nil answer if the key has to be looked up again.
func (e *execution) claimAndDispatch(ctx context.Context, replaced *Close) (*Answer, error) {
	const op = "claim"
	var records []Record
	if replaced != nil {
		records = append(records, Record{Kind: KindClose, Close: replaced})
	}
	attempt, err := e.newClaimedAttempt(ctx)
	if err != nil {
		e.proveNotRun(ctx, records)
		return nil, err
	}
	records = append(records, Record{Kind: KindClaim, Claim: &attempt.Claim})
	if err := e.executor.appendAndReadBack(ctx, records); err != nil {
		return nil, err
	}
	info := e.executor.Lookup(e.request.Key)
	if info.State == StateClaimed && info.Claim.Attempt == attempt.Claim.Attempt {
		return e.dispatch(ctx, attempt, info)
	}
	if created, timed := e.request.Key.CreationTime(); info.State == StateUnclaimed &&
		timed && created.After(e.executor.maxKeyTime()) {
		e.provenNotRun = true
		return nil, track.Fail(op, TooNew, nil)
	}
	return nil, nil
}

// newClaimedAttempt chooses a backend server and forms the claim of the next attempt.
func (e *execution) newClaimedAttempt(ctx context.Context) (ClaimedAttempt, error) {
	const op = "prepare attempt"
	if e.executor.Len() >= e.executor.options.Settings.MaxKeys {
		return ClaimedAttempt{}, track.Fail(op, TooManyKeys, nil)
	}
	if int(e.claimCount) >= e.executor.options.Settings.MaxClaimsPerRequest {
		return ClaimedAttempt{}, track.Fail(op, NoBackendServer, nil)
	}
	server, err := e.dispatcher.ChooseServer(ctx)
	if err != nil {
		return ClaimedAttempt{}, track.Fail(op, NoBackendServer, err)
	}
	e.claimCount++
	return ClaimedAttempt{Server: server, Claim: Claim{
		Key:         e.request.Key,
		BodySHA256:  e.request.BodySHA256,
		Attempt:     track.AttemptID{Request: e.request.ID, Number: e.claimCount},
		Agent:       server.Agent,
		Address:     server.Address,
		Incarnation: server.Incarnation,
		Stamp:       server.Load.Stamp,
	}}, nil
}

// proveNotRun appends the records, or a heartbeat if there are none, and reads the
// log up to them. If the key is unclaimed there, no earlier attempt has run.
func (e *execution) proveNotRun(ctx context.Context, records []Record) {
	if len(records) == 0 {
		records = []Record{{Kind: KindHeartbeat}}
	}
	if err := e.executor.appendAndReadBack(ctx, records); err != nil {
		e.executor.options.Logger.Debug("not proven that the request did not run", zap.Error(err))
		return
	}
	e.provenNotRun = e.executor.Lookup(e.request.Key).State == StateUnclaimed
}

// appendAndReadBack appends records and waits until the index has applied them.
func (x *Executor) appendAndReadBack(ctx context.Context, records []Record) error {
	ctx, cancel := context.WithTimeout(ctx, x.options.Settings.ClaimTimeout)
	defer cancel()
	offset, err := x.appendRecords(ctx, records...)
	if err != nil {
		return err
	}
	return x.readBack(ctx, offset)
}

// maxKeyTime returns the latest timestamp that a key may have at present.
func (x *Executor) maxKeyTime() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.index.logTime.Add(x.options.Settings.MaxKeyLead)
}

// isOwnClaim reports whether the key is held by the latest dispatched claim of this
// request.
func (e *execution) isOwnClaim(info KeyInfo) bool {
	return info.Claim.Attempt == e.attempt.Claim.Attempt && e.claimCount > 0
}

// dispatch dispatches the attempt of a claim that holds its key. It returns a nil
// answer if the agent has to be asked for the outcome, or if the attempt certainly
// never runs.
func (e *execution) dispatch(ctx context.Context, attempt ClaimedAttempt, info KeyInfo) (*Answer, error) {
	attempt.Offset = info.ClaimOffset
	e.attempt = attempt
	e.provenNotRun = false
	answer, err := frames.Collect(attempt.Claim.Attempt, e.executor.options.Drops, func(send track.FrameFunc) error {
		return e.dispatcher.Dispatch(ctx, attempt, send)
	})
	if track.IsKind(err, track.Unavailable) {
		e.setBarred(info.ClaimOffset, true)
		return nil, nil
	}
	if err != nil {
		e.executor.options.Logger.Info("answer to request with idempotency key incomplete",
			zap.String("RequestID", string(e.request.ID)), zap.Error(err))
		return nil, nil
	}
	final := answer[len(answer)-1]
	if final.Outcome == track.NotRun {
		e.setBarred(info.ClaimOffset, final.Refusal != track.RefusedBarred)
		return nil, nil
	}
	if final.Refusal != "" {
		return nil, nil
	}
	e.storeResult(ctx, info, answer)
	return &Answer{Outcome: final.Outcome, Frames: answer}, nil
}

// setBarred records that the attempt of the claim at the offset certainly never
// runs. If another entry barred the attempt, that entry may run the request, so
// provenNotRun must be false.
func (e *execution) setBarred(offset uint64, provenNotRun bool) {
	e.barredClaim = &offset
	e.provenNotRun = provenNotRun
}
