package claims_test

import (
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/claims"
)

// The load to design for: one in a hundred of 17,000 requests a second is a
// booking, in 8 regions with a log each.
const (
	bookingsPerSecond   = 21
	maxAppendsPerSecond = 400
	maxClaimDelay       = 250 * time.Millisecond
)

// Batches keep the log within several hundred appends a second, in a rush too.
func TestAppendsAtTheSizeToDesignFor(t *testing.T) {
	for _, rush := range []int{1, 20} {
		synctest.Test(t, func(t *testing.T) { book(t, rush*bookingsPerSecond) })
	}
}

func book(t *testing.T, rate int) {
	const seconds = 2
	w := newWorld(t, 9, 3, 1)
	defer w.end()
	var mu sync.Mutex
	var delays []time.Duration
	for i := range rate * seconds {
		time.Sleep(time.Second / time.Duration(rate))
		w.pending.Go(func() {
			r := &request{entry: w.entries[i%9], key: fmt.Sprint(i), body: "a", id: track.RequestID(fmt.Sprint(i))}
			began := time.Now()
			r.dispatched = func() {
				mu.Lock()
				defer mu.Unlock()
				delays = append(delays, time.Since(began))
			}
			answer, err := r.send()
			assert.Check(t, err)
			assert.Check(t, answer.Outcome == track.Completed)
		})
	}
	w.pending.Wait()
	slices.Sort(delays)
	p99 := delays[len(delays)*99/100]
	// The answers reach the log after the callers.
	time.Sleep(time.Second)
	appends := 0
	w.locked(func() { appends = w.appended / seconds })
	t.Logf("%d bookings/s over 9 entries: %d appends/s, claim to dispatch p50 %v p99 %v",
		rate, appends, delays[len(delays)/2], p99)
	assert.Check(t, appends <= maxAppendsPerSecond)
	assert.Check(t, p99 <= maxClaimDelay)
}

// During an outage of the log every new booking is refused in time and none
// runs; after it service is back within the wait for one claim.
// maxRefusal bounds the wait for a refusal while the log is known to be away. It
// is well under the time in which a caller would rather hear no.
const maxRefusal = 250 * time.Millisecond

func TestOutageOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 2, 1)
		defer w.end()
		const length, from, to = 600, 120, 420
		results := make([]claims.Answer, length)
		slowest := make([]time.Duration, length)
		for i := range length {
			w.locked(func() { w.away = i >= from && i < to })
			w.pending.Go(func() {
				began := time.Now()
				r := &request{entry: w.entries[i%2], key: fmt.Sprint(i), body: "a", id: track.RequestID(fmt.Sprint(i))}
				results[i], _ = r.send()
				slowest[i] = time.Since(began)
			})
			time.Sleep(time.Second)
		}
		w.pending.Wait()
		lost, back := 0, 0
		for i, answer := range results {
			if answer.Outcome == track.Completed {
				continue
			}
			lost++
			back = i + 1
			assert.Check(t, answer.Outcome == track.NotRun, "booking %d", i)
			assert.Check(t, i >= from-1 && i < to, "booking %d", i)
		}
		t.Logf("outage of %d s, one booking a second: %d refused, slowest refusal %v, first success %d s after the end",
			to-from, lost, slices.Max(slowest[from:to]), max(0, back-to))
		assert.Check(t, len(w.runs) == length-lost)
		// Once the outage is known, callers are told at once, not after the whole wait.
		const known = 3
		assert.Check(t, slices.Max(slowest[from+known:to]) <= maxRefusal)
	})
}

// BenchmarkIndex gives the cost of a claim to each entry of a region.
func BenchmarkIndex(b *testing.B) {
	const keys = 100_000
	records := make([]track.Record, keys)
	for i := range records {
		data, err := claims.Encode(claims.Record{Kind: claims.KindClaim, Claim: &claims.Claim{
			Key:        claims.Key{Account: "aserrin", Service: "pickup-desk", Name: uuidAt(time.Unix(1_800_000_000, 0), i)},
			BodySHA256: fmt.Sprintf("%064x", i), Agent: "agent-rivera-pickup-desk-1", Address: "10.0.0.7:9000", Incarnation: 7,
			Attempt: track.AttemptID{Request: track.RequestID(fmt.Sprintf("%032x", i)), Number: 1}, Stamp: track.Stamp(i),
		}})
		assert.NilError(b, err)
		records[i] = track.Record{Offset: uint64(i), Time: time.Unix(1_800_000_000, int64(i)), Data: data}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	index := claims.NewIndex(claims.Defaults())
	for b.Loop() {
		index = claims.NewIndex(claims.Defaults())
		index.Apply(track.Page{Records: records, Next: keys}, time.Unix(0, 0))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
	b.ReportMetric(float64(len(records[0].Data)), "B/record")
	result, err := claims.Encode(claims.Record{Kind: claims.KindClose, Close: &claims.Close{
		Key: claims.Key{Account: "aserrin", Service: "pickup-desk", Name: uuidAt(time.Unix(1_800_000_000, 0), 1)}, Reason: claims.Finished,
		Result: &claims.Result{Status: http.StatusCreated, Header: http.Header{"Content-Type": {"application/json"}}, Body: make([]byte, 64)},
	}})
	assert.NilError(b, err)
	b.ReportMetric(float64(len(result)), "B/result")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/keys, "ns/claim")
	assert.Equal(b, index.Len(), keys)
	runtime.KeepAlive(records)
}
