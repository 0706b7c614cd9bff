// Package ticket keeps what entries know of clients whose requests were refused with a delay: when the client made
// its first attempt, and when it was told to return. The entries of a zone tell each other, because the platform
// sends the client's next attempt to another entry.
package ticket

import (
	"container/list"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track/blame"
)

const (
	// keepTime is the time after the return time for which a ticket is kept. Clients don't wait much longer for an
	// answer.
	keepTime = 10 * time.Second
	// maxTickets is the most tickets in a book, and maxReports the most in a message.
	maxTickets = 4096
	maxReports = 64
	// copies is the number of messages that hold a new ticket, since messages may be lost.
	copies = 3
	// maxShareDelay is the time after the return time from which on a ticket is no longer sent. Most of the clients
	// have returned by then.
	maxShareDelay = time.Second
	// maxDelay limits the delay that is taken from a peer's report, which may be wrong. Replicas may ask for rests of
	// up to 5 minutes.
	maxDelay = 5 * time.Minute
	// maxAge limits the time since the first attempt that is taken from a peer's report.
	maxAge = 10 * time.Minute
)

// Ticket records that a client was told to return.
type Ticket struct {
	// ID is the fingerprint of the request. Equal requests of different clients have one ticket.
	ID blame.Fingerprint
	// FirstSeen is when the client made its first attempt, and ReturnAt when it may return.
	FirstSeen, ReturnAt time.Time
}

// Book holds the tickets that an entry has issued or learned from peers. It is safe for concurrent use.
type Book struct {
	clock clockwork.Clock

	mu sync.Mutex
	// tickets holds the elements of order by ID.
	tickets map[blame.Fingerprint]*list.Element
	// order holds the *Ticket values, the oldest first.
	order *list.List
	// unsent holds own tickets by the number of messages that have held them, each list in the order of issue. It may
	// hold tickets that have been replaced.
	unsent [copies][]*Ticket
}

// New returns an empty Book.
func New(clock clockwork.Clock) *Book {
	return &Book{clock: clock, tickets: make(map[blame.Fingerprint]*list.Element), order: list.New()}
}

// Issue records the ticket of a request that this entry refuses, and shares it with peers.
func (b *Book) Issue(t Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.put(&t) {
		b.queue(0, &t)
	}
}

// Redeem returns the ticket of a request, if there is one. The ticket stays until it expires: the client may lose the
// answer to this attempt, too.
func (b *Book) Redeem(id blame.Fingerprint) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	element := b.tickets[id]
	if element == nil {
		return Ticket{}, false
	}
	t := ticketOf(element)
	if b.expired(t) {
		b.remove(element)
		return Ticket{}, false
	}
	return *t, true
}

// Share returns what to report to peers in the next message. Each new ticket is in three messages. If there are too
// many, those that have been in fewer messages come first.
func (b *Book) Share() []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var reports []Report
	var sent [copies][]*Ticket
	for n := range b.unsent {
		rest := b.unsent[n]
		for len(rest) > 0 && len(reports) < maxReports {
			t := rest[0]
			rest = rest[1:]
			element := b.tickets[t.ID]
			if element == nil || ticketOf(element) != t || now.Sub(t.ReturnAt) > maxShareDelay {
				continue
			}
			reports = append(reports, Report{ID: t.ID, Age: now.Sub(t.FirstSeen), ReturnIn: t.ReturnAt.Sub(now)})
			sent[n] = append(sent[n], t)
		}
		b.unsent[n] = rest
	}
	for n := range copies - 1 {
		for _, t := range sent[n] {
			b.queue(n+1, t)
		}
	}
	return reports
}

// Merge records what a peer reports.
func (b *Book) Merge(reports []Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, r := range reports[:min(len(reports), maxReports)] {
		b.put(&Ticket{
			ID: r.ID, FirstSeen: now.Add(-min(max(r.Age, 0), maxAge)), ReturnAt: now.Add(min(r.ReturnIn, maxDelay)),
		})
	}
}

// Len returns the number of tickets that have not expired.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for element := b.order.Front(); element != nil; element = element.Next() {
		if !b.expired(ticketOf(element)) {
			count++
		}
	}
	return count
}

// put records the ticket and reports whether that changed the book. Of several tickets with one ID the one with the
// latest return time applies, so that all entries end up with the same one in whatever order they learn of them. A
// client that returns too early can't move its return time forward.
func (b *Book) put(t *Ticket) bool {
	if b.expired(t) {
		return false
	}
	if old := b.tickets[t.ID]; old != nil {
		if known := ticketOf(old); !b.expired(known) && !t.ReturnAt.After(known.ReturnAt) {
			return false
		}
		b.remove(old)
	}
	for front := b.order.Front(); front != nil && (b.order.Len() >= maxTickets || b.expired(ticketOf(front))); front = b.order.Front() {
		b.remove(front)
	}
	b.tickets[t.ID] = b.order.PushBack(t)
	return true
}

// queue adds an own ticket that n messages have held to those that are sent next. Without peers nothing is sent, so
// the list is bounded.
func (b *Book) queue(n int, t *Ticket) {
	b.unsent[n] = append(b.unsent[n], t)
	if excess := len(b.unsent[n]) - maxTickets; excess > 0 {
		b.unsent[n] = b.unsent[n][excess:]
	}
}

func (b *Book) remove(element *list.Element) {
	delete(b.tickets, ticketOf(element).ID)
	b.order.Remove(element)
}

func (b *Book) expired(t *Ticket) bool {
	return b.clock.Now().Sub(t.ReturnAt) >= keepTime
}

func ticketOf(element *list.Element) *Ticket {
	t, _ := element.Value.(*Ticket)
	return t
}
