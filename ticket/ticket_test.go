package ticket_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track/blame"
	"filberttrack.example/track/ticket"
)

// issue issues a ticket of a request that is refused now.
func issue(clock clockwork.Clock, b *ticket.Book, id uint64, delay time.Duration) {
	b.Issue(ticket.Ticket{ID: blame.Fingerprint(id), FirstSeen: clock.Now(), ReturnAt: clock.Now().Add(delay)})
}

// transfer passes reports through their encoding.
func transfer(t testing.TB, reports []ticket.Report) []ticket.Report {
	t.Helper()
	data, err := json.Marshal(ticket.Reports(reports))
	assert.NilError(t, err)
	var out ticket.Reports
	assert.NilError(t, json.Unmarshal(data, &out))
	return out
}

// Guards against tickets that are lost with two messages, and against entries whose clocks differ.
func TestTicketReachesPeerWithAnotherClock(t *testing.T) {
	clock := clockwork.NewFakeClock()
	own := ticket.New(clock)
	issue(clock, own, 7, 900*time.Millisecond)
	var reports []ticket.Report
	for range 3 {
		clock.Advance(100 * time.Millisecond)
		reports = transfer(t, own.Share())
		assert.Equal(t, len(reports), 1)
	}
	assert.Equal(t, len(own.Share()), 0)

	peerClock := clockwork.NewFakeClockAt(clock.Now().Add(-time.Hour))
	peer := ticket.New(peerClock)
	peer.Merge(reports)
	got, ok := peer.Redeem(7)
	assert.Assert(t, ok)
	assert.Equal(t, peerClock.Since(got.FirstSeen), 300*time.Millisecond)
	assert.Equal(t, peerClock.Until(got.ReturnAt), 600*time.Millisecond)
	assert.Equal(t, len(peer.Share()), 0, "only the entry that refused the request sends the ticket")
	_, ok = peer.Redeem(8)
	assert.Assert(t, !ok)
}

// Guards against a client that learns the earliest of several return times by retrying, and against entries that
// disagree since they got messages in different orders.
func TestLatestReturnTimeApplies(t *testing.T) {
	clock := clockwork.NewFakeClock()
	reports := []ticket.Report{{ID: 1, Age: time.Second, ReturnIn: 2 * time.Second}, {ID: 1, ReturnIn: time.Second}}
	for range 2 {
		b := ticket.New(clock)
		b.Merge(reports[:1])
		b.Merge(reports[1:])
		issue(clock, b, 1, 20*time.Millisecond)
		got, _ := b.Redeem(1)
		assert.Equal(t, clock.Until(got.ReturnAt), 2*time.Second)
		assert.Equal(t, clock.Since(got.FirstSeen), time.Second)
		reports[0], reports[1] = reports[1], reports[0]
	}
}

// Guards against memory that grows with the refusals of an overload, and against requests that count as late long
// after one.
func TestTicketsAreBoundedAndExpire(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := ticket.New(clock)
	for id := range uint64(5000) {
		issue(clock, b, id, time.Duration(5000-id)*time.Millisecond)
	}
	assert.Equal(t, b.Len(), 4096)
	for id, known := range map[blame.Fingerprint]bool{0: false, 903: false, 904: true, 4999: true} {
		_, ok := b.Redeem(id)
		assert.Equal(t, ok, known, "%d", id)
	}
	clock.Advance(10 * time.Second)
	assert.Equal(t, b.Len(), 4096)
	clock.Advance(time.Millisecond)
	_, ok := b.Redeem(4999)
	assert.Assert(t, !ok, "the last ticket has expired")
	_, ok = b.Redeem(904)
	assert.Assert(t, ok)
	clock.Advance(5 * time.Second)
	assert.Equal(t, b.Len(), 0)
}

// Guards against messages that grow with the refusals, and against a backlog that delays new tickets until their
// clients have returned.
func TestReportsAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := ticket.New(clock)
	for id := range uint64(100) {
		issue(clock, b, id, time.Second)
	}
	sent := map[blame.Fingerprint]int{}
	for i, want := range []int{64, 64, 64, 64, 44, 0} {
		reports := b.Share()
		assert.Equal(t, len(reports), want, "message %d", i)
		for _, r := range reports {
			sent[r.ID]++
		}
		if i == 1 {
			assert.Equal(t, len(sent), 100, "tickets that no message has held come first")
		}
	}
	for id, n := range sent {
		assert.Equal(t, n, 3, "%d", id)
	}
	for id := range uint64(1000) {
		issue(clock, b, 1000+id, time.Second)
	}
	clock.Advance(2100 * time.Millisecond)
	issue(clock, b, 1, time.Second)
	assert.DeepEqual(t, b.Share(), []ticket.Report{{ID: 1, ReturnIn: time.Second}})
}

// Guards against a wrong report that keeps tickets for long or makes the message unreadable, and against more reports
// than a message may hold.
func TestOddReports(t *testing.T) {
	for _, text := range []string{`"?"`, `""`, `"AAAA"`} {
		var r ticket.Reports
		assert.NilError(t, json.Unmarshal([]byte(text), &r), text)
		assert.Equal(t, len(r), 0)
	}
	assert.Equal(t, len(transfer(t, make([]ticket.Report, 100))), 64)
	clock := clockwork.NewFakeClock()
	b := ticket.New(clock)
	b.Merge(transfer(t, []ticket.Report{{ID: 1, Age: -time.Hour, ReturnIn: 1000 * time.Hour}, {ID: 2, ReturnIn: -time.Hour}}))
	got, _ := b.Redeem(1)
	assert.Equal(t, got.FirstSeen, clock.Now())
	assert.Equal(t, clock.Until(got.ReturnAt), 5*time.Minute)
	assert.Equal(t, b.Len(), 1)
	b.Merge(make([]ticket.Report, 100))
	assert.Equal(t, b.Len(), 2)
}

// BenchmarkReports measures encoding and decoding the reports of a full message.
func BenchmarkReports(b *testing.B) {
	clock := clockwork.NewFakeClock()
	reports := make(ticket.Reports, 64)
	for i := range reports {
		reports[i] = ticket.Report{
			ID: blame.Fingerprint(uint64(i+1) * 0x9e3779b97f4a7c15), Age: 1234567 * time.Microsecond, ReturnIn: time.Second,
		}
	}
	message := struct{ Tickets ticket.Reports }{reports}
	data, err := json.Marshal(message)
	assert.NilError(b, err)
	b.Run("Encode", func(b *testing.B) {
		for b.Loop() {
			if _, err := json.Marshal(message); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("Decode", func(b *testing.B) {
		for b.Loop() {
			if err := json.Unmarshal(data, &message); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("Merge", func(b *testing.B) {
		book := ticket.New(clock)
		for b.Loop() {
			clock.Advance(20 * time.Millisecond)
			book.Merge(reports)
		}
	})
}
