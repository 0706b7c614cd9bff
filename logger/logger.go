// Package logger builds the structured logger of a process.
package logger

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"filberttrack.example/track/conf"
)

// New returns a logger that writes to standard error with the level and the format of the
// settings.
func New(s conf.Logging) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.Level)
	if err != nil {
		return nil, fmt.Errorf("parse log level: %w", err)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(level)
	config.Encoding = s.Format
	// Sampling would drop the log lines of decisions under load.
	config.Sampling = nil
	config.DisableStacktrace = true
	config.EncoderConfig = encoderConfig()
	log, err := config.Build()
	if err != nil {
		return nil, fmt.Errorf("build logger: %w", err)
	}
	return log, nil
}
