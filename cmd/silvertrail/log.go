package main

import (
	"io"
	"log/slog"

	"golang.org/x/time/rate"
)

const (
	linesPerSecond = 20
	lineBurst      = 100
	maxQueuedLines = 256
)

// newLog returns a logger that never waits: lines beyond the rate, or that nobody reads, are dropped.
func newLog(w io.Writer) *slog.Logger {
	q := lineQueue{lines: make(chan []byte, maxQueuedLines), limit: rate.NewLimiter(linesPerSecond, lineBurst)}
	go func() {
		for line := range q.lines {
			w.Write(line)
		}
	}()
	return slog.New(slog.NewTextHandler(q, nil))
}

type lineQueue struct {
	lines chan []byte
	limit *rate.Limiter
}

func (q lineQueue) Write(line []byte) (int, error) {
	if q.limit.Allow() {
		select {
		case q.lines <- append([]byte(nil), line...):
		default:
		}
	}
	return len(line), nil
}
