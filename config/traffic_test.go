package config

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
)

// Limits of the control traffic at the size of deployment that the design aims
// at, and the rate of changes. The bytes are counted per instance, the appends
// per second for the whole deployment.
const (
	allowedBytesPerSecond = 20_000
	allowedAppends        = 200
	changesPerDay         = 2400
	day                   = 24 * time.Hour
)

// fleetSizes returns the numbers of entries and agents of the deployments to
// measure. Their ratio is that of the deployment that the design aims at.
// FILBERTTRACK_SIZES is the number of doublings of the size.
func fleetSizes() [][2]int {
	doublings, _ := strconv.Atoi(os.Getenv("FILBERTTRACK_SIZES"))
	var all [][2]int
	for i := 0; i <= doublings; i++ {
		all = append(all, [2]int{9 << i, 39 << i})
	}
	return all
}

// TestTraffic measures messages and bytes per second at a steady rate of changes.
func TestTraffic(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprintf("%d entries, %d agents", size[0], size[1]), func(t *testing.T) {
			withFleet(t, size[0], size[1], func(ctx context.Context, t *testing.T, f *fleet) {
				const changes = 4
				logged, calls, bytes := f.log.Counts(), f.calls.Load(), f.transferredBytes.Load()
				started := time.Now()
				for i := range changes {
					publish(ctx, t, f.live()[i], newChange(fmt.Sprint("c", i),
						profileEdit("lunch", time.Duration(i+1)*time.Second, uint64(i))))
					time.Sleep(day / changesPerDay)
				}
				seconds := time.Since(started).Seconds()
				now := f.log.Counts()
				instances := float64(size[0] + size[1])
				perInstance := (float64(f.transferredBytes.Load()-bytes)*2 +
					float64(now.BytesRead-logged.BytesRead)) / seconds / instances
				busiest := uint64(0)
				for _, n := range f.live() {
					busiest = max(busiest, n.servedBytes.Load())
				}
				t.Logf("log: %.2f reads/s, %.0f B/s, %d appends; peers: %.2f requests/s; per instance %.0f B/s, busiest serves %.0f B/s",
					float64(now.Reads-logged.Reads)/seconds, float64(now.BytesRead-logged.BytesRead)/seconds,
					now.Appends-logged.Appends,
					float64(f.calls.Load()-calls)/seconds, perInstance, float64(busiest)/(seconds+10))
				assert.Assert(t, perInstance <= allowedBytesPerSecond)
				assert.Assert(t, float64(now.Appends-logged.Appends)/seconds <= allowedAppends)
			})
		})
	}
}

// stateWithAccounts returns a state with the given number of client accounts,
// which are created by changes of up to change.MaxEdits edits.
func stateWithAccounts(tb testing.TB, accounts int) *change.State {
	s := change.NewState()
	var edits []change.Edit
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		edits = append(edits, change.Edit{Key: change.Key{Kind: change.AccountKind, Name: name}, Value: encode(track.ClientAccount{
			Name: name, TokenSHA256: change.HexSHA256([]byte(name)), Weight: 1, RequestsPerSecond: 10,
		})})
		if len(edits) == change.MaxEdits || i == accounts-1 {
			d := s.Apply(change.Change{ID: name, Operator: "maria", BaseSeq: s.Seq(), Edits: edits})
			assert.Assert(tb, d.Verdict.Accepted, d.Verdict.Detail)
			edits = nil
		}
	}
	return s
}

// multipartAccounts is a number of client accounts whose state is larger than one
// part.
const multipartAccounts = 1500

// A complete state that is larger than one part is transferred in several.
func TestLargeStateTransferredInParts(t *testing.T) {
	t.Parallel()
	f := newFleet(newFakeClock(), 1)
	source, target := f.add(track.RoleEntry), f.add(track.RoleAgent)
	source.state = stateWithAccounts(t, multipartAccounts)
	source.activate()
	target.pollPeer(t.Context(), target.contact(source))
	assert.Equal(t, target.Status().Version, source.Status().Version)
	assert.Equal(t, target.stateBytes(), source.stateBytes())
	assert.Assert(t, f.calls.Load() > 1)
	t.Logf("%d bytes in %d requests", f.transferredBytes.Load(), f.calls.Load())
	// One more change is transferred as a record, not as a complete state.
	before := f.transferredBytes.Load()
	source.mu.Lock()
	source.applyChange(change.Change{
		ID: "one", BaseSeq: source.state.Seq(), Edits: []change.Edit{profileEdit("lunch", time.Second, 0)},
	})
	source.activate()
	source.mu.Unlock()
	target.pollPeer(t.Context(), target.contact(source))
	assert.Equal(t, target.timeout("lunch"), time.Second)
	assert.Assert(t, f.transferredBytes.Load()-before < 2000)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkState(b *testing.B) {
	for _, accounts := range []int{1000, 5000, 21_000} {
		s := stateWithAccounts(b, accounts)
		data, err := s.Marshal()
		assert.NilError(b, err)
		idx := NewIndex(s.Config(), nil)
		n := 0
		run := func(name string, f func()) {
			b.Run(fmt.Sprintf("%s/%d", name, accounts), func(b *testing.B) {
				for b.Loop() {
					f()
				}
				b.ReportMetric(float64(len(data)), "state-bytes")
			})
		}
		key := change.Key{Kind: change.AccountKind, Name: "account-00000"}
		run("apply", func() {
			n++
			item, _ := s.Item(key)
			s.Apply(change.Change{
				ID: fmt.Sprint("bench", n), BaseSeq: s.Seq(),
				Edits: []change.Edit{{Key: key, Replaces: item.Version, Value: item.Value}},
			})
		})
		run("index", func() { NewIndex(s.Config(), nil) })
		run("clone", func() { s.Clone() })
		run("checksum", func() {
			s.Checksum()
		})
		run("decode state", func() { _, _ = change.Unmarshal(data) })
		b.Run(fmt.Sprintf("memory/%d", accounts), func(b *testing.B) {
			before := heapBytes()
			state, err := change.Unmarshal(data)
			assert.NilError(b, err)
			retained := NewIndex(state.Config(), nil)
			b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
			runtime.KeepAlive(state)
			runtime.KeepAlive(retained)
		})
		token := change.HexSHA256([]byte("account-00000"))
		run("look-up", func() { idx.Account(token) })
	}
}
