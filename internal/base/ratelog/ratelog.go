// Package ratelog makes loggers that never block and write a bounded number of lines. Each logger has a goroutine that writes its lines until
// the process ends.
package ratelog

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Bounds of the log: lines beyond them are dropped, and counted.
const (
	linesPerSecond = 20
	lineBurst      = 100
	maxQueuedLines = 256
)

// LevelVariable is the environment variable with the lowest level that is logged: debug, info, warn or error.
const LevelVariable = "LB_LOG_LEVEL"

// configuredLevel returns the configured level; info if none is, or an unknown one.
func configuredLevel() slog.Level {
	level := slog.LevelInfo
	if text := os.Getenv(LevelVariable); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			return slog.LevelInfo
		}
	}
	return level
}

// New returns a logger. It drops lines beyond the rate, and those that w does not take in time.
func New(w io.Writer) *slog.Logger {
	q := &lineQueue{lines: make(chan []byte, maxQueuedLines), limit: rate.NewLimiter(linesPerSecond, lineBurst)}
	go func() {
		for line := range q.lines {
			_, _ = w.Write(line) // a line that cannot be written is dropped
		}
	}()
	return slog.New(slog.NewTextHandler(q, &slog.HandlerOptions{Level: configuredLevel()}))
}

// lineQueue queues lines for the writing goroutine.
type lineQueue struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64 // lines since the last one that was queued
}

// Write implements io.Writer. A line that follows dropped ones tells their number.
func (q *lineQueue) Write(line []byte) (int, error) {
	if !q.limit.Allow() {
		q.dropped.Add(1)
		return len(line), nil
	}
	queued := append([]byte(nil), line...)
	dropped := q.dropped.Swap(0)
	if dropped > 0 {
		queued = fmt.Appendf(bytes.TrimSuffix(queued, []byte("\n")), " lines_dropped_before=%d\n", dropped)
	}
	select {
	case q.lines <- queued:
	default:
		q.dropped.Add(dropped + 1)
	}
	return len(line), nil
}
