package main

import (
	"io"
	"log/slog"
	"os"

	"golang.org/x/time/rate"
)

// Bounds of the log: lines beyond them are dropped.
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
	q := lineQueue{lines: make(chan []byte, maxQueuedLines), limit: rate.NewLimiter(linesPerSecond, lineBurst)}
	go func() {
		for line := range q.lines {
			_, _ = w.Write(line) // a line that cannot be written is dropped
		}
	}()
	return slog.New(slog.NewTextHandler(q, &slog.HandlerOptions{Level: logLevel()}))
}

// lineQueue queues lines for the writing goroutine.
type lineQueue struct {
	lines chan []byte
	limit *rate.Limiter
}

// Write implements io.Writer.
func (q lineQueue) Write(line []byte) (int, error) {
	if q.limit.Allow() {
		select {
		case q.lines <- append([]byte(nil), line...):
		default:
		}
	}
	return len(line), nil
}
