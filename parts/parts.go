// Package parts detects parts of prompts that crash each replica that begins to answer a
// request with such a part, and bars requests with them. These requests are all different,
// and sound requests share their other parts.
//
// A part is suspected of each crash that cut off a request with it which had not begun to
// write. Requests that do write clear their parts. Parts that are suspected of several crashes
// are on probation: requests with them are refused but for one at a time, whose end shows
// whether its part is sound. A part that is suspected of more crashes than any other and has not
// been sound is convicted without a trial. Crashes of a convicted part convict no other one.
package parts

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/recent"
)

const (
	// crashLimit is the number of crashes at which a part is barred, and convictionLimit the number
	// at which no trial is risked any more: users accept five crashes.
	crashLimit      = 3
	convictionLimit = 5
	// leadingCrashLimit takes the place of crashLimit for the first part of a prompt, which all
	// requests of a kind or of a client account may share. It is suspected along with every other
	// part, so it is convicted by a trial only.
	leadingCrashLimit = 5
	// minRequests is the number of different requests that must have crashed replicas. With
	// one, the request is at fault and not a part of it.
	minRequests = 2
	// soundRunsPerCrash is the number of sound runs within soundMemory for each crash beyond
	// which a part is not barred.
	soundRunsPerCrash = 2
	// trialTimeout is the time after which a trial has shown nothing, and trialRetryAfter the delay
	// after which the client of a request with a part on probation should retry.
	trialTimeout    = 3 * time.Second
	trialRetryAfter = 2 * time.Second
	// trialDelay is the time after a crash in which entries learn of each other's requests that it cut
	// off. The one with the lowest fingerprint belongs to the entry that tries the part.
	trialDelay = 500 * time.Millisecond
	// successorDelay is the time that this entry has until the one tries the part to which the crash
	// before belongs, and so on.
	successorDelay = 6 * time.Second
	// chargeDuration is how long a charge is kept after its latest crash, and so how long a part
	// is barred.
	chargeDuration = 10 * time.Minute
	// soundMemory is the time for which sound runs are counted at least. They are kept for
	// twice that time at most.
	soundMemory = time.Minute
	// peerSoundMemory is the time for which the highest number of sound runs that a peer has
	// reported is kept. Peers in other zones send messages once a second.
	peerSoundMemory = 5 * time.Second
	// crashSpread is the time within which the ends of two runs on one replica are taken for the same
	// crash if the starts of the replica aren't known. It includes the age of peers' messages.
	crashSpread = 2 * time.Second
	// maxCharges, maxCrashes and maxSoundParts bound the memory.
	maxCharges    = 2048
	maxCrashes    = 8
	maxSoundParts = 16384
	// shareTime is the time for which a charge is sent to peers after it has changed, so that they get
	// it although messages are lost. What is barred is sent for as long as it is, for entries that
	// start.
	shareTime = 15 * time.Second
	// maxSharedCharges is the most charges sent to or taken from a peer in one message.
	maxSharedCharges = 16
)

// Part identifies a part of a prompt within a service. It is a 64-bit FNV-1a hash.
type Part uint64

// IDOf returns the Part of a service's prompts with the given ID or text.
func IDOf(service, part string) Part {
	hash := fnv.New64a()
	// A hash never fails to write.
	_, _ = hash.Write([]byte(service))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(part))
	return Part(hash.Sum64())
}

// Crash identifies the death of a replica.
type Crash struct {
	Replica track.ReplicaID
	// Born identifies the start of the replica that ended in the crash; 0 if unknown.
	Born int64
}

// Run is a run of a request that was cut off by the crash of its replica before it had begun
// to write.
type Run struct {
	// Request is the fingerprint of the request. Equal requests have equal fingerprints.
	Request uint64
	// Parts holds the parts that other requests may share, in the order of the prompt.
	Parts []Part
	// Trial is set if the request was admitted as a trial of a part on probation.
	Trial bool
	// SentAt and BrokeAt are when the run was sent and when it was cut off.
	SentAt  time.Time
	BrokeAt time.Time
}

// SuspectedCrash is a crash in a Charge.
type SuspectedCrash struct {
	Crash
	// Request is the fingerprint of the request that ran, and SentAgo and BrokeAgo the times since
	// it was sent and cut off.
	Request           uint64
	SentAgo, BrokeAgo time.Duration
}

// Charge lists the crashes of which a part is suspected, in the form that entries send to each
// other.
type Charge struct {
	Part Part
	// Round rises each time the part is cleared. Crashes of an earlier round no longer count.
	Round uint32
	// Depth is the position of the part in the prompt, from 0.
	Depth int `json:",omitempty"`
	// Sound is the number of recent sound runs with the part at the sender, and SoundAgo the time
	// since the latest that the sender knows of; 0 if there is none.
	Sound    int           `json:",omitempty"`
	SoundAgo time.Duration `json:",omitempty"`
	// Convicted is set if no other part can have caused the crashes.
	Convicted bool `json:",omitempty"`
	// Crashes holds the latest crashes in this round, 8 at most.
	Crashes []SuspectedCrash
	// Left is the time until the charge expires.
	Left time.Duration
}

// BarredPart is a barred part, for operators.
type BarredPart struct {
	Part    Part
	Crashes int
	// Convicted is set unless the part is on probation.
	Convicted bool
	// Remaining is the time until the part may be sent again.
	Remaining time.Duration
}

// Tracker records which parts are suspected of crashes. It is safe for concurrent use.
type Tracker struct {
	clock  clockwork.Clock
	logger *zap.Logger

	mu      sync.Mutex
	charges map[Part]*charge
	// probation holds since when each part on probation is.
	probation map[Part]time.Time
	// trials holds when each trial under way has shown nothing. They take place one after the other
	// if trialsInTurn is set.
	trials       map[Part]time.Time
	trialsInTurn bool
	// sound counts the sound runs.
	sound *recent.Counts[Part]
}

// charge is the record of a part. See Charge for its fields.
type charge struct {
	round uint32
	depth int
	// peerSound is the highest number of sound runs that a peer has reported lately, and
	// peerSoundAt when it did. peerLastSound is the latest sound run that a peer has reported.
	peerSound     int
	peerSoundAt   time.Time
	peerLastSound time.Time
	convicted     bool
	// own is set if this entry has convicted the part.
	own     bool
	crashes []suspectedCrash
	// changedAt is when the round or the crashes changed last.
	changedAt time.Time
	until     time.Time
}

// suspectedCrash is a crash in a charge. Of the runs that it cut off, it holds the one with the
// lowest request.
type suspectedCrash struct {
	Crash
	request         uint64
	sentAt, brokeAt time.Time
	// own is set if the run was this entry's.
	own bool
}

// same reports whether two runs were cut off by the same crash.
func (s suspectedCrash) same(other suspectedCrash) bool {
	if s.Born != 0 || other.Born != 0 {
		return s.Crash == other.Crash
	}
	return s.Replica == other.Replica && s.brokeAt.Sub(other.brokeAt).Abs() < crashSpread
}

// New returns a Tracker without charges. It registers its metrics in the given set.
func New(clock clockwork.Clock, logger *zap.Logger, set *metrics.Set) *Tracker {
	t := &Tracker{
		clock: clock, logger: logger,
		charges: make(map[Part]*charge), probation: make(map[Part]time.Time), trials: make(map[Part]time.Time),
		sound: recent.New[Part](clock, soundMemory, maxSoundParts),
	}
	set.GetOrCreateGauge("filberttrack_parts_barred", func() float64 { return float64(len(t.Barred())) })
	return t
}

// Decision says whether a request may be sent to a replica.
type Decision struct {
	// RetryAfter is the time after which the client may retry; 0 if the request may be sent.
	RetryAfter time.Duration
	// Trial is set if the request is the trial of a part on probation.
	Trial bool
}

// Check decides whether a request with the parts may be sent to a replica. If it is a trial, the
// caller must say so in the Run if the replica crashes.
func (t *Tracker) Check(parts []Part) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	var onProbation []Part
	for _, p := range parts {
		if left := t.convictedFor(p); left > 0 {
			return Decision{RetryAfter: left}
		}
		if t.isOnProbation(p) && !slices.Contains(onProbation, p) {
			onProbation = append(onProbation, p)
		}
	}
	if len(onProbation) == 0 {
		return Decision{}
	}
	if len(onProbation) == 1 && t.startTrial(onProbation[0]) {
		return Decision{Trial: true}
	}
	return Decision{RetryAfter: trialRetryAfter}
}

// isOnProbation reports whether a part is on probation, which ends with its charge.
func (t *Tracker) isOnProbation(p Part) bool {
	if _, ok := t.probation[p]; !ok {
		return false
	}
	if t.activeCharge(p) == nil {
		delete(t.probation, p)
		return false
	}
	return true
}

// ConvictedFor returns how long one of the parts remains convicted; 0 if none is.
func (t *Tracker) ConvictedFor(parts []Part) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var longest time.Duration
	for _, p := range parts {
		longest = max(longest, t.convictedFor(p))
	}
	return longest
}

// convictedFor returns how long a part remains convicted; 0 if it isn't.
func (t *Tracker) convictedFor(p Part) time.Duration {
	c := t.activeCharge(p)
	if c == nil || !c.convicted {
		return 0
	}
	return c.until.Sub(t.clock.Now())
}

// startTrial starts the trial of a part, unless it is tried already, here or by a peer.
func (t *Tracker) startTrial(p Part) bool {
	now := t.clock.Now()
	maps.DeleteFunc(t.trials, func(_ Part, end time.Time) bool { return !now.Before(end) })
	_, underWay := t.trials[p]
	if underWay || t.trialsInTurn && len(t.trials) > 0 || now.Before(t.trialFrom(p)) {
		return false
	}
	t.trials[p] = now.Add(trialTimeout)
	t.logger.Info("part of prompts tried", zap.Uint64("Part", uint64(p)))
	return true
}

// trialFrom returns when this entry may try a part on probation. Requests with a part that crashes
// replicas come at all entries, so they try it in turn: the one to which the latest crash belongs
// first, those without a crash last.
func (t *Tracker) trialFrom(p Part) time.Time {
	since, crashes := t.probation[p], t.charges[p].crashes
	turn := 0
	for i := len(crashes) - 1; i >= 0 && !crashes[i].own; i-- {
		turn++
	}
	if n := len(crashes); n > 0 && crashes[n-1].brokeAt.After(since) {
		since = crashes[n-1].brokeAt
	}
	return since.Add(trialDelay + time.Duration(turn)*successorDelay)
}

// Barred returns the convicted parts and those on probation, those with the most crashes first.
func (t *Tracker) Barred() []BarredPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	var barred []BarredPart
	for p := range t.charges {
		c := t.activeCharge(p)
		if c == nil {
			continue
		}
		if t.isOnProbation(p) || c.convicted {
			barred = append(barred, BarredPart{
				Part: p, Crashes: len(c.crashes), Convicted: c.convicted, Remaining: c.until.Sub(t.clock.Now()),
			})
		}
	}
	slices.SortFunc(barred, func(a, b BarredPart) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Part, b.Part))
	})
	return barred
}

// RunWasSound records that a replica has written an answer to a request with the parts, which
// clears them.
func (t *Tracker) RunWasSound(parts []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cleared := false
	for _, p := range parts {
		t.sound.Add(p)
		cleared = t.clearCharge(p) || cleared
	}
	if cleared {
		t.updateBarred(ownEvidence)
	}
}

// clearCharge clears a part of the crashes that it is suspected of. It reports whether there were
// any.
func (t *Tracker) clearCharge(p Part) bool {
	c := t.activeCharge(p)
	if c == nil || len(c.crashes) == 0 {
		return false
	}
	if t.isOnProbation(p) || c.convicted {
		t.logger.Info("part of prompts released", zap.Uint64("Part", uint64(p)), zap.Int("Crashes", len(c.crashes)))
	}
	c.round, c.crashes, c.convicted, c.own = c.round+1, nil, false, false
	c.changedAt = t.clock.Now()
	delete(t.trials, p)
	return true
}

// Release releases a part on behalf of an operator, in all entries, and reports whether it was
// barred here.
func (t *Tracker) Release(p Part) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isOnProbation(p) && t.convictedFor(p) == 0 {
		return false
	}
	released := t.clearCharge(p)
	t.updateBarred(ownEvidence)
	return released
}

// RunCrashed records that the crash of a replica has cut a run off. All parts of the run are
// suspected.
func (t *Tracker) RunCrashed(run Run, crash Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for depth, p := range run.Parts {
		c := t.activeCharge(p)
		if c == nil {
			c = t.insertCharge(p)
		}
		c.depth = max(c.depth, depth)
		c.add(suspectedCrash{Crash: crash, request: run.Request, sentAt: run.SentAt, brokeAt: run.BrokeAt, own: true})
		c.until, c.changedAt = now.Add(chargeDuration), now
	}
	t.judgeTrial(run)
	t.updateBarred(ownEvidence)
}

// judgeTrial convicts the part on probation whose trial has crashed its replica. If other trials
// were under way, any of them may have done so, and they are repeated in turn.
func (t *Tracker) judgeTrial(run Run) {
	if !run.Trial {
		return
	}
	for _, p := range run.Parts {
		if _, underWay := t.trials[p]; !underWay {
			continue
		}
		if len(t.trials) > 1 {
			t.trialsInTurn = true
			clear(t.trials)
			return
		}
		t.convict(p)
	}
}

// add adds a crash unless the charge has it already with a request as low. Only the latest ones are
// kept.
func (c *charge) add(s suspectedCrash) bool {
	known := slices.IndexFunc(c.crashes, s.same)
	switch {
	case known < 0:
		c.crashes = append(c.crashes, s)
	case s.request < c.crashes[known].request:
		c.crashes[known] = s
	default:
		return false
	}
	slices.SortStableFunc(c.crashes, func(a, b suspectedCrash) int { return a.brokeAt.Compare(b.brokeAt) })
	c.crashes = c.crashes[max(len(c.crashes)-maxCrashes, 0):]
	return true
}

// Share returns the charges to send to peers, which are those of barred parts and those that have
// changed lately: those with the most crashes first, then the latest. There are 16 at most.
func (t *Tracker) Share() []Charge {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var charges []Charge
	for p := range t.charges {
		c := t.activeCharge(p)
		if c != nil && (c.convicted || t.isOnProbation(p) || now.Sub(c.changedAt) < shareTime) {
			charges = append(charges, t.export(p, c, now))
		}
	}
	slices.SortFunc(charges, func(x, y Charge) int {
		return cmp.Or(cmp.Compare(len(y.Crashes), len(x.Crashes)), cmp.Compare(y.Left, x.Left), cmp.Compare(x.Part, y.Part))
	})
	return charges[:min(len(charges), maxSharedCharges)]
}

// export returns the charge of a part in the form that entries send to each other.
func (t *Tracker) export(p Part, c *charge, now time.Time) Charge {
	exported := Charge{
		Part: p, Round: c.round, Depth: c.depth, Sound: t.sound.Count(p), Convicted: c.convicted, Left: c.until.Sub(now),
	}
	if last := t.lastSound(p, c); !last.IsZero() {
		exported.SoundAgo = max(now.Sub(last), 1)
	}
	for _, s := range c.crashes {
		exported.Crashes = append(exported.Crashes, SuspectedCrash{
			Crash: s.Crash, Request: s.request, SentAgo: now.Sub(s.sentAt), BrokeAgo: now.Sub(s.brokeAt),
		})
	}
	return exported
}

// Aged returns the charge as it is after some time.
func (c Charge) Aged(age time.Duration) Charge {
	c.Left -= age
	if c.SoundAgo > 0 {
		c.SoundAgo += age
	}
	c.Crashes = slices.Clone(c.Crashes)
	for i := range c.Crashes {
		c.Crashes[i].SentAgo += age
		c.Crashes[i].BrokeAgo += age
	}
	return c
}

// Convicted returns the charges of all convicted parts.
func (t *Tracker) Convicted() []Charge {
	return t.convictedCharges(func(*charge) bool { return true })
}

// OwnConvicted returns the charges of the parts that this entry has convicted.
func (t *Tracker) OwnConvicted() []Charge {
	return t.convictedCharges(func(c *charge) bool { return c.own })
}

// convictedCharges returns the charges of those convicted parts that match.
func (t *Tracker) convictedCharges(matches func(*charge) bool) []Charge {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var convicted []Charge
	for p := range t.charges {
		if c := t.activeCharge(p); c != nil && c.convicted && matches(c) {
			convicted = append(convicted, t.export(p, c, now))
		}
	}
	return convicted
}

// Merge merges the charges that a peer has sent. Only the first 16 are taken.
func (t *Tracker) Merge(charges []Charge) {
	if len(charges) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, other := range charges[:min(len(charges), maxSharedCharges)] {
		changed = t.mergeCharge(other) || changed
	}
	if changed {
		t.updateBarred(peerEvidence)
	}
}

// mergeCharge merges a charge of a peer and reports whether the crashes have changed.
func (t *Tracker) mergeCharge(other Charge) bool {
	now := t.clock.Now()
	left := min(max(other.Left, 0), chargeDuration)
	c := t.activeCharge(other.Part)
	if c == nil {
		c = t.insertCharge(other.Part)
		c.round, c.until, c.changedAt = other.Round, now.Add(left), now
	}
	if other.Round < c.round {
		return false
	}
	changed := other.Round > c.round
	if changed {
		c.round, c.crashes, c.convicted, c.own = other.Round, nil, false, false
	}
	if other.Convicted && !c.convicted {
		c.convicted, changed = true, true
	}
	c.depth = max(c.depth, other.Depth)
	if other.Sound >= c.peerSound || now.Sub(c.peerSoundAt) > peerSoundMemory {
		c.peerSound, c.peerSoundAt = other.Sound, now
	}
	if last := now.Add(-other.SoundAgo); other.SoundAgo > 0 && last.After(c.peerLastSound) {
		c.peerLastSound = last
	}
	for _, s := range other.Crashes[:min(len(other.Crashes), maxCrashes)] {
		changed = c.add(suspectedCrash{
			Crash: s.Crash, request: s.Request, sentAt: now.Add(-s.SentAgo), brokeAt: now.Add(-s.BrokeAgo),
		}) || changed
	}
	if until := now.Add(left); until.After(c.until) {
		c.until = until
	}
	if changed {
		c.changedAt = now
	}
	return changed
}

// evidence says where a change of the charges comes from.
type evidence bool

const (
	ownEvidence evidence = true
	// peerEvidence convicts no part without a trial, since a peer may not have reported all charges.
	peerEvidence evidence = false
)

// updateBarred decides anew which parts are convicted and which are on probation.
func (t *Tracker) updateBarred(e evidence) {
	suspects := t.suspects()
	for e == ownEvidence {
		p, found := t.mostSuspected(suspects)
		if !found || !t.needsNoTrial(p) {
			break
		}
		t.convict(p)
	}
	for _, p := range suspects {
		if len(t.charges[p].crashes) >= convictionLimit && t.needsNoTrial(p) {
			t.convict(p)
		}
	}
	suspects = t.suspects()
	maps.DeleteFunc(t.probation, func(p Part, _ time.Time) bool { return !slices.Contains(suspects, p) })
	if len(t.probation) == 0 {
		t.trialsInTurn = false
	}
	for _, p := range suspects {
		if _, known := t.probation[p]; !known {
			t.probation[p] = t.clock.Now()
			t.trialsInTurn = t.trialsInTurn || t.soundRuns(p, t.charges[p]) > 0
			t.logCharge("part of prompts on probation", p)
		}
	}
}

// needsNoTrial reports whether a suspect may be convicted without a trial: it has not been sound
// lately, and doesn't lead prompts.
func (t *Tracker) needsNoTrial(p Part) bool {
	c := t.charges[p]
	return c.depth > 0 && t.soundRuns(p, c) == 0
}

// logCharge logs what is known of a part.
func (t *Tracker) logCharge(message string, p Part) {
	c := t.charges[p]
	t.logger.Warn(message, zap.Uint64("Part", uint64(p)), zap.Int("Depth", c.depth), zap.Int("Crashes", len(c.crashes)),
		zap.Int("Sound", t.soundRuns(p, c)), zap.Time("Until", c.until))
}

// convict convicts a part.
func (t *Tracker) convict(p Part) {
	c := t.charges[p]
	if c.convicted {
		return
	}
	c.convicted, c.own = true, true
	delete(t.trials, p)
	t.logCharge("part of prompts convicted", p)
}

// suspects returns the parts whose crashes suffice to bar them. Of a part that leads prompts, which
// is suspected along with every other part, only those crashes count that no convicted part
// explains.
func (t *Tracker) suspects() []Part {
	explained := t.explainedCrashes()
	var suspects []Part
	for p := range t.charges {
		c := t.activeCharge(p)
		if c == nil || c.convicted || len(c.crashes) < crashLimit || t.isProvenSound(p, c, explained) {
			continue
		}
		crashes := c.crashes
		if c.depth == 0 {
			crashes = c.unexplained(explained)
		}
		if c.reachesLimit(crashes) {
			suspects = append(suspects, p)
		}
	}
	return suspects
}

// isProvenSound reports whether sound runs speak against barring a part. A part may turn bad: runs
// before convictionLimit crashes that no convicted part explains don't count, unless it leads prompts.
func (t *Tracker) isProvenSound(p Part, c *charge, explained []suspectedCrash) bool {
	if t.soundRuns(p, c) <= soundRunsPerCrash*len(c.crashes) {
		return false
	}
	crashes := c.unexplained(explained)
	if c.depth == 0 || len(crashes) < convictionLimit {
		return true
	}
	return t.lastSound(p, c).After(crashes[len(crashes)-convictionLimit].brokeAt)
}

// unexplained returns the crashes without the explained ones.
func (c *charge) unexplained(explained []suspectedCrash) []suspectedCrash {
	return slices.DeleteFunc(slices.Clone(c.crashes), func(s suspectedCrash) bool { return slices.ContainsFunc(explained, s.same) })
}

// mostSuspected returns the part that is suspected of the most crashes which no convicted part
// explains. It returns false if there are several, or if these crashes don't suffice to bar it.
func (t *Tracker) mostSuspected(suspects []Part) (Part, bool) {
	explained := t.explainedCrashes()
	var first Part
	most, unique := 0, false
	for _, p := range suspects {
		c := t.charges[p]
		unexplained := c.unexplained(explained)
		n := len(unexplained)
		switch {
		case c.convicted || n < most || !c.reachesLimit(unexplained):
		case n == most:
			unique = false
		default:
			first, most, unique = p, n, true
		}
	}
	return first, unique
}

// explainedCrashes returns the crashes that convicted parts are suspected of.
func (t *Tracker) explainedCrashes() []suspectedCrash {
	var explained []suspectedCrash
	for p := range t.charges {
		if c := t.activeCharge(p); c != nil && c.convicted {
			explained = append(explained, c.crashes...)
		}
	}
	return explained
}

// soundRuns returns the number of recent sound runs with the part, in this process or at the
// peer that has seen the most.
func (t *Tracker) soundRuns(p Part, c *charge) int {
	if t.clock.Since(c.peerSoundAt) > peerSoundMemory {
		return t.sound.Count(p)
	}
	return max(t.sound.Count(p), c.peerSound)
}

// lastSound returns the time of the latest recent sound run with the part; zero if none is known.
func (t *Tracker) lastSound(p Part, c *charge) time.Time {
	if own := t.sound.Last(p); own.After(c.peerLastSound) {
		return own
	}
	return c.peerLastSound
}

// reachesLimit reports whether crashes of which the part is suspected suffice to bar it. Replicas
// that crash together, as with the loss of an instance, prove nothing: one of the runs must have
// been sent after another was cut off.
func (c *charge) reachesLimit(crashes []suspectedCrash) bool {
	limit := crashLimit
	if c.depth == 0 {
		limit = leadingCrashLimit
	}
	if len(crashes) < limit {
		return false
	}
	requests := make(map[uint64]bool)
	lastSent, firstBroke := crashes[0].sentAt, crashes[0].brokeAt
	for _, s := range crashes {
		requests[s.request] = true
		if s.sentAt.After(lastSent) {
			lastSent = s.sentAt
		}
		if s.brokeAt.Before(firstBroke) {
			firstBroke = s.brokeAt
		}
	}
	return len(requests) >= minRequests && lastSent.After(firstBroke)
}

// activeCharge returns the charge of a part, or nil if there is none. It deletes a charge that
// has expired.
func (t *Tracker) activeCharge(p Part) *charge {
	c := t.charges[p]
	if c == nil {
		return nil
	}
	if !t.clock.Now().Before(c.until) {
		delete(t.charges, p)
		return nil
	}
	return c
}

// insertCharge adds a charge. If there are maxCharges already, it replaces the one with the
// fewest crashes that expires first.
func (t *Tracker) insertCharge(p Part) *charge {
	if len(t.charges) >= maxCharges {
		delete(t.charges, t.leastCharged())
	}
	c := &charge{until: t.clock.Now().Add(chargeDuration)}
	t.charges[p] = c
	return c
}

// leastCharged returns the part whose charge has the fewest crashes and, of these, expires first.
func (t *Tracker) leastCharged() Part {
	var least Part
	var lowest *charge
	for p, c := range t.charges {
		if lowest == nil || cmp.Or(cmp.Compare(len(c.crashes), len(lowest.crashes)), c.until.Compare(lowest.until)) < 0 {
			least, lowest = p, c
		}
	}
	return least
}
