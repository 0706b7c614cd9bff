package send

import (
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/pick"
)

// BenchmarkDecisionLog measures a routing decision with and without its log
// line. The line is encoded as JSON and then discarded.
func BenchmarkDecisionLog(b *testing.B) {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	logger := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(io.Discard), zapcore.InfoLevel))
	for _, logDecisions := range []bool{false, true} {
		name := "off"
		if logDecisions {
			name = "on"
		}
		b.Run(name, func(b *testing.B) {
			router := pick.New()
			router.Update([]track.BackendServer{{Agent: "agent-1", Target: "dispatch-llm", Joined: time.Time{}}})
			step := New(Options{Router: router, Clock: clockwork.NewRealClock(), Logger: logger, LogDecisions: logDecisions})
			e := &execution{step: step, exchange: &flow.Exchange{Call: track.Call{ID: "request", Target: "dispatch-llm"}}}
			for b.Loop() {
				choice, err := e.pickReplica(false)
				if err != nil {
					b.Fatal(err)
				}
				router.Done(choice, track.AttemptResult{})
			}
		})
	}
}
