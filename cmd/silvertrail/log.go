package main

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

// logLevelVariable is the environment variable with the lowest level that is logged: debug, info, warn or error.
const logLevelVariable = "LB_LOG_LEVEL"

// logLevel returns the configured level; info if none is, or an unknown one.
func logLevel() slog.Level {
	level := slog.LevelInfo
	if text := os.Getenv(logLevelVariable); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			return slog.LevelInfo
		}
	}
	return level
}

// newLog returns a logger that never blocks: lines beyond the rate, or that nobody reads, are dropped. Its goroutine writes the lines until
// the process ends.
func newLog(w io.Writer) *slog.Logger {
	q := &lineQueue{lines: make(chan []byte, maxQueuedLines), limit: rate.NewLimiter(linesPerSecond, lineBurst)}
	go func() {
		for line := range q.lines {
			_, _ = w.Write(line) // a line that cannot be written is dropped
		}
	}()
	return slog.New(slog.NewTextHandler(q, &slog.HandlerOptions{Level: logLevel()}))
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
