package batch_test

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/permit"
	"filberttrack.example/track/signs"
)

// BenchmarkAcquire measures the choice of a replica, with the slots divided among the entries and without, at the sizes
// of deployments: entries and replicas.
func BenchmarkAcquire(b *testing.B) {
	for _, size := range []struct{ entries, replicas int }{{6, 12}, {40, 64}, {98, 250}} {
		for _, divided := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/replicas=%d/divided=%v", size.entries, size.replicas, divided), func(b *testing.B) {
				clock := clockwork.NewFakeClock()
				p := batch.New(batch.Options{
					Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(), Random: func() float64 { return 0.5 },
					Signs: signs.New(clock, zap.NewNop()), Entries: func() int { return size.entries },
				})
				p.Configure(&track.EngineSpec{Slots: slots, MemoryTokens: 372000})
				if divided {
					p.SetShare(permit.Share{Width: 1 / float64(size.entries)})
				}
				p.Update(replicas(size.replicas))
				for b.Loop() {
					g, err := p.Acquire(b.Context(), newAsk(clock, 0))
					if err != nil {
						b.Fatal(err)
					}
					g.Done(batch.Result{Verdict: batch.Served})
				}
			})
		}
	}
}
