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
	// queueCapacity is the maximum number of queued lines.
	queueCapacity = 4096
	// sheddingThreshold is the number of queued lines from which on lines below level
	// warn are dropped, which leaves room for warnings and errors.
	sheddingThreshold = queueCapacity / 2
	// flushInterval is how long lines are collected for a single write.
	flushInterval = 100 * time.Millisecond
	// maxWriteBytes is the size from which on a write takes no further line.
	maxWriteBytes = 64 << 10
)

// AsyncWriter writes log lines from a bounded queue, so that a log reader that stops
// reading does not block the process. Lines that do not fit are dropped and counted.
type AsyncWriter struct {
	lines *ring.Ring[[]byte]
	out   io.Writer
	clock clockwork.Clock
	// reportedDrops is the number of dropped lines that the log already reports.
	reportedDrops uint64
	// shedLines counts the lines below level warn that were dropped at the threshold.
	shedLines atomic.Uint64
}

// NewAsync returns a logger that writes JSON lines, from level info, through an
// AsyncWriter. Nothing is written until the Run method of the writer is started.
func NewAsync(out io.Writer, clock clockwork.Clock) (*zap.Logger, *AsyncWriter) {
	w := &AsyncWriter{lines: ring.New[[]byte](queueCapacity), out: out, clock: clock}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), zapcore.AddSync(w), zapcore.InfoLevel)
	return zap.New(sheddingCore{core, w}), w
}

// sheddingCore is a core that drops lines below level warn while the queue holds at least
// sheddingThreshold lines.
type sheddingCore struct {
	zapcore.Core
	queue *AsyncWriter
}

// With implements zapcore.Core.
func (s sheddingCore) With(fields []zapcore.Field) zapcore.Core {
	return sheddingCore{s.Core.With(fields), s.queue}
}

// Check implements zapcore.Core.
func (s sheddingCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if entry.Level < zapcore.WarnLevel && s.queue.lines.Len() >= sheddingThreshold {
		s.queue.shedLines.Add(1)
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

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.lines.Offer(append([]byte(nil), line...))
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() uint64 {
	return w.lines.Dropped() + w.shedLines.Load()
}

// Run writes lines until the context is done, then writes those still queued and returns
// the cause of the context.
func (w *AsyncWriter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			for w.lines.Len() > 0 || w.Dropped() > w.reportedDrops {
				w.flush(nil)
			}
			return context.Cause(ctx)
		case line := <-w.lines.Items():
			select {
			case <-ctx.Done():
			case <-w.clock.After(flushInterval):
			}
			w.flush(line)
		}
	}
}

// flush writes the buffer and the queued lines that fit, and reports dropped lines.
func (w *AsyncWriter) flush(buffer []byte) {
	for {
		select {
		case line := <-w.lines.Items():
			buffer = append(buffer, line...)
			if len(buffer) < maxWriteBytes {
				continue
			}
		default:
		}
		break
	}
	if dropped := w.Dropped(); dropped > w.reportedDrops {
		buffer = fmt.Appendf(buffer,
			"{\"Level\":\"warn\",\"Message\":\"log lines dropped\",\"Dropped\":%d}\n", dropped-w.reportedDrops)
		w.reportedDrops = dropped
	}
	if len(buffer) > 0 {
		// The error is ignored because there is nowhere to report it.
		_, _ = w.out.Write(buffer)
	}
}
