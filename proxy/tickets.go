package proxy

import (
	"cmp"
	"net/http"
	"time"

	"filberttrack.example/track/batch"
	"filberttrack.example/track/ticket"
)

// earlyMargin is the time before the return time up to which a client doesn't count as early. The entries don't know
// the time more exactly, since their reports take a few milliseconds.
const earlyMargin = 50 * time.Millisecond

// returning is what the ticket of a request says of its client.
type returning struct {
	// known is set if tickets are in use for the service. The rest is zero otherwise.
	known bool
	kind  batch.Return
	// firstSeen is when the client made its first attempt.
	firstSeen time.Time
}

// redeemTicket finds out whether the client was told to return. Tickets are used where the entries divide the slots of
// engines. Requests to plain services are often equal without being repeats of each other.
func (x *exchange) redeemTicket() {
	tickets := x.proxy.options.Tickets
	if tickets == nil || !x.pool.DividesSlots() {
		return
	}
	t, found := tickets.Redeem(x.fingerprint)
	x.returning = returnOf(t, found, x.arrived, cmp.Or(x.route.Timeout, defaultTimeout))
}

// returnOf classifies a request that arrives now and whose clients wait for an answer for the given time at most. A
// ticket of a longer time ago is that of another client with an equal request.
func returnOf(t ticket.Ticket, found bool, now time.Time, patience time.Duration) returning {
	if !found || now.Sub(t.FirstSeen) > patience {
		return returning{known: true, kind: batch.FirstAttempt, firstSeen: now}
	}
	kind := batch.Booked
	if t.ReturnAt.Sub(now) > earlyMargin {
		kind = batch.Early
	}
	return returning{known: true, kind: kind, firstSeen: t.FirstSeen}
}

// issueTicket records that the refusal tells the client to return, whatever its reason. A client that has left or
// whose deadline has passed won't return.
func (x *exchange) issueTicket(refusal Refusal) {
	now := x.proxy.options.Clock.Now()
	toldToReturn := refusal.Status == http.StatusServiceUnavailable && refusal.RetryAfter > 0
	if x.returning.known && toldToReturn && x.clientCtx.Err() == nil && now.Before(x.deadline) {
		x.proxy.options.Tickets.Issue(ticket.Ticket{
			ID: x.fingerprint, FirstSeen: x.returning.firstSeen, ReturnAt: now.Add(refusal.RetryAfter),
		})
	}
}
