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

// The design load: one in a hundred of 17,000 requests a second is a booking, in 8
// regions with one log each.
const (
	// bookingsPerSecond is the rate of non-idempotent requests in one region.
	bookingsPerSecond   = 21
	maxAppendsPerSecond = 400
	// maxClaimDelay limits the 99th percentile of the time from a request to its
	// dispatch.
	maxClaimDelay = 250 * time.Millisecond
)

// Batching must keep the log below maxAppendsPerSecond, also at 20 times the design
// load.
func TestAppendRateAtDesignLoad(t *testing.T) {
	for _, factor := range []int{1, 20} {
		synctest.Test(t, func(t *testing.T) { sendBookings(t, factor*bookingsPerSecond) })
	}
}

// sendBookings sends bookings at the given rate per second and checks the rate of
// appends and the delay of dispatches.
func sendBookings(t *testing.T, rate int) {
	const seconds = 2
	c := newCluster(t, 9, 3, 1)
	defer c.shutdown()
	var mu sync.Mutex
	var delays []time.Duration
	for i := range rate * seconds {
		time.Sleep(time.Second / time.Duration(rate))
		c.pending.Go(func() {
			r := &request{entry: c.entries[i%9], key: fmt.Sprint(i), body: "a", id: track.RequestID(fmt.Sprint(i))}
			start := time.Now()
			r.beforeDispatch = func() {
				mu.Lock()
				defer mu.Unlock()
				delays = append(delays, time.Since(start))
			}
			answer, err := r.send()
			assert.Check(t, err)
			assert.Check(t, answer.Outcome == track.Completed)
		})
	}
	c.pending.Wait()
	slices.Sort(delays)
	p99 := delays[len(delays)*99/100]
	// The answers are appended to the log after the clients have received them.
	time.Sleep(time.Second)
	appends := 0
	c.withLock(func() { appends = c.appendCalls / seconds })
	t.Logf("%d bookings/s over 9 entries: %d appends/s, claim to dispatch p50 %v p99 %v",
		rate, appends, delays[len(delays)/2], p99)
	assert.Check(t, appends <= maxAppendsPerSecond)
	assert.Check(t, p99 <= maxClaimDelay)
}

// maxRefusalDelay limits the time until a request is refused while the log counts as
// down. It is well below the time after which a client would prefer a refusal to
// waiting.
const maxRefusalDelay = 250 * time.Millisecond

// During an outage of the log, each new booking must be refused in time and none may
// run. After the outage, bookings must succeed within the timeout of one claim.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 2, 1)
		defer c.shutdown()
		const length, from, to = 600, 120, 420
		results := make([]claims.Answer, length)
		durations := make([]time.Duration, length)
		for i := range length {
			c.withLock(func() { c.logDown = i >= from && i < to })
			c.pending.Go(func() {
				start := time.Now()
				r := &request{entry: c.entries[i%2], key: fmt.Sprint(i), body: "a", id: track.RequestID(fmt.Sprint(i))}
				results[i], _ = r.send()
				durations[i] = time.Since(start)
			})
			time.Sleep(time.Second)
		}
		c.pending.Wait()
		refused, firstSuccess := 0, 0
		for i, answer := range results {
			if answer.Outcome == track.Completed {
				continue
			}
			refused++
			firstSuccess = i + 1
			assert.Check(t, answer.Outcome == track.NotRun, "booking %d", i)
			assert.Check(t, i >= from-1 && i < to, "booking %d", i)
		}
		t.Logf("outage of %d s, one booking a second: %d refused, slowest refusal %v, first success %d s after the end",
			to-from, refused, slices.Max(durations[from:to]), max(0, firstSuccess-to))
		assert.Check(t, len(c.runs) == length-refused)
		// Once the log counts as down, requests are refused after LogDownClaimTimeout, not
		// after the whole ClaimTimeout.
		const detectionSeconds = 3
		assert.Check(t, slices.Max(durations[from+detectionSeconds:to]) <= maxRefusalDelay)
	})
}

// BenchmarkIndex measures the time and memory that a claim costs each entry of a
// region.
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
		Key:    claims.Key{Account: "aserrin", Service: "pickup-desk", Name: uuidAt(time.Unix(1_800_000_000, 0), 1)},
		Reason: claims.ReasonFinished,
		Result: &claims.Result{
			Status: http.StatusCreated, Header: http.Header{"Content-Type": {"application/json"}}, Body: make([]byte, 64),
		},
	}})
	assert.NilError(b, err)
	b.ReportMetric(float64(len(result)), "B/result")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/keys, "ns/claim")
	assert.Equal(b, index.Len(), keys)
	runtime.KeepAlive(records)
}
