package logger

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"filberttrack.example/track/ring"
)

const (
	// boundedLines is the number of lines that wait for a slow reader.
	boundedLines = 4096
	// busyLines is the number of waiting lines from which on those of information are
	// dropped, so that there is room for warnings and errors.
	busyLines = boundedLines / 2
	// flushInterval is the time for which lines are gathered into one write.
	flushInterval = 100 * time.Millisecond
	// maxWriteBytes bounds the lines of one write.
	maxWriteBytes = 64 << 10
)

// Bounded writes log lines from a bounded queue, so that a reader that stops
// reading holds up nobody. Lines without room are dropped and counted.
type Bounded struct {
	lines    *ring.Ring[[]byte]
	out      io.Writer
	clock    clockwork.Clock
	reported uint64
	// shed counts the lines of information that were dropped while others waited.
	shed atomic.Uint64
}

// NewBounded returns a logger of JSON lines, and the queue behind it, whose Run
// has to be started.
func NewBounded(out io.Writer, clock clockwork.Clock) (*zap.Logger, *Bounded) {
	b := &Bounded{lines: ring.New[[]byte](boundedLines), out: out, clock: clock}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), zapcore.AddSync(b), zapcore.InfoLevel)
	return zap.New(shedding{core, b}), b
}

// shedding is a core that drops lines of information while many lines wait.
type shedding struct {
	zapcore.Core
	queue *Bounded
}

// With implements zapcore.Core.
func (s shedding) With(fields []zapcore.Field) zapcore.Core {
	return shedding{s.Core.With(fields), s.queue}
}

// Check implements zapcore.Core.
func (s shedding) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if entry.Level < zapcore.WarnLevel && s.queue.lines.Len() >= busyLines {
		s.queue.shed.Add(1)
		return checked
	}
	return s.Core.Check(entry, checked)
}

func encoderConfig() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "Time"
	config.LevelKey = "Level"
	config.MessageKey = "Message"
	config.NameKey = "Name"
	config.CallerKey = zapcore.OmitKey
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return config
}

// Write implements io.Writer. It never waits.
func (b *Bounded) Write(line []byte) (int, error) {
	b.lines.Offer(append([]byte(nil), line...))
	return len(line), nil
}

// Dropped returns the number of lines without room.
func (b *Bounded) Dropped() uint64 {
	return b.lines.Dropped() + b.shed.Load()
}

// Run writes lines until the context ends, and then those that wait.
func (b *Bounded) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			for b.lines.Len() > 0 || b.Dropped() > b.reported {
				b.flush(nil)
			}
			return context.Cause(ctx)
		case line := <-b.lines.Items():
			select {
			case <-ctx.Done():
			case <-b.clock.After(flushInterval):
			}
			b.flush(line)
		}
	}
}

func (b *Bounded) flush(buffer []byte) {
	for {
		select {
		case line := <-b.lines.Items():
			buffer = append(buffer, line...)
			if len(buffer) < maxWriteBytes {
				continue
			}
		default:
		}
		break
	}
	if dropped := b.Dropped(); dropped > b.reported {
		buffer = fmt.Appendf(buffer, "{\"Level\":\"warn\",\"Message\":\"log lines dropped\",\"Dropped\":%d}\n", dropped-b.reported)
		b.reported = dropped
	}
	if len(buffer) > 0 {
		// There is nowhere to report that the log can't be written.
		_, _ = b.out.Write(buffer)
	}
}
