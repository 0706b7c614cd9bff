package claims

import (
	"context"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/frames"
)

// Work is a request that must not be repeated.
type Work struct {
	Key        Key
	BodySHA256 string
	Request    track.RequestID
	// First is set if the caller states that it sends the key for the first time.
	First bool
}

// Ticket is the right to dispatch one attempt, once.
type Ticket struct {
	Server track.BackendServer
	Claim  Claim
	Offset uint64
}

// Fill sets the fields of a dispatch that the claim prescribes.
func (t Ticket) Fill(d *track.Dispatch) {
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

// Runner chooses backend servers and dispatches attempts.
type Runner interface {
	// Choose returns the backend server for the next attempt.
	Choose(ctx context.Context) (track.BackendServer, error)
	// Dispatch runs the attempt of the ticket and hands over its frames. An
	// error of kind track.Unavailable means that the dispatch never left.
	Dispatch(ctx context.Context, t Ticket, send track.FrameFunc) error
}

// Answer is what is known after Execute.
type Answer struct {
	Outcome track.Outcome
	// Frames holds the answer if the work ran, the final frame included.
	Frames []track.Frame
	// Replayed is set if the answer is that to an earlier request.
	Replayed bool
}

// execution is one request on its way.
type execution struct {
	book   *Book
	work   Work
	runner Runner
	// claims counts the claims of this request.
	claims uint32
	// ticket is the latest claim of this request.
	ticket Ticket
	// barred holds the offset of a claim that certainly never runs.
	barred *uint64
	// shown is set while it is certain that neither this request nor one whose
	// claim lies before in the log has run.
	shown bool
}

// Execute runs the work at most once under its key and returns the one answer.
// With an error, the answer's outcome tells what is known.
func (b *Book) Execute(ctx context.Context, work Work, runner Runner) (Answer, error) {
	x := &execution{book: b, work: work, runner: runner, shown: work.First}
	answer, err := x.run(ctx)
	if err != nil && x.shown {
		answer.Outcome = track.NotRun
	}
	b.options.Logger.Info("claimed work ended",
		zap.String("RequestID", string(work.Request)),
		zap.Stringer("Outcome", answer.Outcome),
		zap.Bool("Replayed", answer.Replayed),
		zap.String("Agent", string(x.ticket.Claim.Agent)),
		zap.Uint32("Claims", x.claims),
		zap.Error(err))
	return answer, err
}

func (x *execution) run(ctx context.Context) (Answer, error) {
	const op = "execute"
	if _, timed := x.work.Key.MintedAt(); !timed && x.book.options.Settings.TimedKeysOnly {
		return Answer{Outcome: track.NotRun}, track.Fail(op, Untimed, nil)
	}
	for {
		if ctx.Err() != nil {
			return Answer{}, track.Fail(op, TimedOut, context.Cause(ctx))
		}
		view := x.book.Look(x.work.Key)
		var answer *Answer
		var err error
		switch view.State {
		case Past:
			x.shown = false
			return Answer{}, track.Fail(op, TooOld, nil)
		case Hidden:
			return Answer{}, track.Fail(op, Unsure, nil)
		case Gone:
			x.shown = false
			return Answer{}, track.Fail(op, Lost, nil)
		case Held:
			answer, err = x.meet(ctx, view)
		case Told:
			answer, err = x.retell(ctx, view)
		case Open:
			answer, err = x.claim(ctx, nil)
		}
		if err != nil {
			return Answer{}, err
		}
		if answer != nil {
			return *answer, nil
		}
	}
}

// meet deals with a claim that holds the key. It returns nil if the way is free
// for another look.
func (x *execution) meet(ctx context.Context, view View) (*Answer, error) {
	if err := x.compare(view); err != nil {
		return nil, err
	}
	if x.barred == nil || *x.barred != view.Offset {
		answer, err := x.recall(ctx, view)
		if err != nil || answer != nil {
			return answer, err
		}
	}
	return x.claim(ctx, &Close{Key: x.work.Key, Offset: view.Offset, Reason: Barred})
}

// compare checks that the claim that holds the key is for the same work.
func (x *execution) compare(view View) error {
	if x.own(view) {
		return nil
	}
	x.shown = false
	if !x.book.sameBody(x.work.Key, x.work.BodySHA256) {
		x.shown = true
		return track.Fail("meet claim", Mismatch, nil)
	}
	return nil
}

// claim appends a claim, together with the end of the claim that it replaces,
// and dispatches if the claim holds.
func (x *execution) claim(ctx context.Context, closing *Close) (*Answer, error) {
	const op = "claim"
	var records []Record
	if closing != nil {
		records = append(records, Record{Kind: KindClose, Close: closing})
	}
	ticket, err := x.draw(ctx)
	if err != nil {
		x.prove(ctx, records)
		return nil, err
	}
	records = append(records, Record{Kind: KindClaim, Claim: &ticket.Claim})
	if err := x.book.secure(ctx, records); err != nil {
		return nil, err
	}
	view := x.book.Look(x.work.Key)
	if view.State == Held && view.Claim.Attempt == ticket.Claim.Attempt {
		return x.hold(ctx, ticket, view)
	}
	if minted, timed := x.work.Key.MintedAt(); view.State == Open && timed && minted.After(x.book.ahead()) {
		x.shown = true
		return nil, track.Fail(op, TooNew, nil)
	}
	return nil, nil
}

// draw chooses a backend server and forms the next attempt.
func (x *execution) draw(ctx context.Context) (Ticket, error) {
	const op = "form attempt"
	if x.book.Len() >= x.book.options.Settings.MaxKeys {
		return Ticket{}, track.Fail(op, Full, nil)
	}
	if int(x.claims) >= x.book.options.Settings.MaxClaims {
		return Ticket{}, track.Fail(op, NoServer, nil)
	}
	server, err := x.runner.Choose(ctx)
	if err != nil {
		return Ticket{}, track.Fail(op, NoServer, err)
	}
	x.claims++
	return Ticket{Server: server, Claim: Claim{
		Key:         x.work.Key,
		BodySHA256:  x.work.BodySHA256,
		Attempt:     track.AttemptID{Request: x.work.Request, Number: x.claims},
		Agent:       server.Agent,
		Address:     server.Address,
		Incarnation: server.Incarnation,
		Stamp:       server.Load.Stamp,
	}}, nil
}

// prove appends the records, or a mark if there are none, and reads the log up
// to them. If the key is open there, nothing before has run.
func (x *execution) prove(ctx context.Context, records []Record) {
	if len(records) == 0 {
		records = []Record{{Kind: KindMark}}
	}
	if err := x.book.secure(ctx, records); err != nil {
		x.book.options.Logger.Debug("key not proven open", zap.Error(err))
		return
	}
	x.shown = x.book.Look(x.work.Key).State == Open
}

// secure appends records and reads them back.
func (b *Book) secure(ctx context.Context, records []Record) error {
	ctx, cancel := context.WithTimeout(ctx, b.options.Settings.ClaimTimeout)
	defer cancel()
	offset, err := b.add(ctx, records...)
	if err != nil {
		return err
	}
	return b.readBack(ctx, offset)
}

// ahead returns the latest time that a key may carry at present.
func (b *Book) ahead() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.index.now.Add(b.options.Settings.KeyLead)
}

func (x *execution) own(view View) bool {
	return view.Claim.Attempt == x.ticket.Claim.Attempt && x.claims > 0
}

// hold dispatches the attempt of a claim that holds its key. It returns nil if
// the outcome has to be asked for, or if the attempt certainly never runs.
func (x *execution) hold(ctx context.Context, ticket Ticket, view View) (*Answer, error) {
	ticket.Offset = view.Offset
	x.ticket = ticket
	x.shown = false
	answer, err := frames.Collect(ticket.Claim.Attempt, x.book.options.Drops, func(send track.FrameFunc) error {
		return x.runner.Dispatch(ctx, ticket, send)
	})
	if track.IsKind(err, track.Unavailable) {
		x.bar(view.Offset, true)
		return nil, nil
	}
	if err != nil {
		x.book.options.Logger.Info("answer to claimed work incomplete",
			zap.String("RequestID", string(x.work.Request)), zap.Error(err))
		return nil, nil
	}
	final := answer[len(answer)-1]
	if final.Outcome == track.NotRun {
		x.bar(view.Offset, final.Refusal != track.RefusedBarred)
		return nil, nil
	}
	if final.Refusal != "" {
		return nil, nil
	}
	x.keep(ctx, view, answer)
	return &Answer{Outcome: final.Outcome, Frames: answer}, nil
}

// bar notes that the claim at the offset certainly never runs. Where another
// entry barred it, that entry may run the work.
func (x *execution) bar(offset uint64, shown bool) {
	x.barred = &offset
	x.shown = shown
}
