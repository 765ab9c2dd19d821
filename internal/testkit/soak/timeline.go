package soak

import (
	"fmt"
	"slices"
	"time"
)

// Timeline returns what happened on the day beside its requests, in its order, with seconds since the first process started.
func (l *Log) Timeline() (lines []string) {
	type happening struct {
		at   time.Time
		text string
	}
	var all []happening
	add := func(at time.Time, format string, arguments ...any) {
		if !at.IsZero() {
			all = append(all, happening{at, fmt.Sprintf(format, arguments...)})
		}
	}
	span := func(s Span, what string) {
		add(s.From, "%s begins", what)
		add(s.To, "%s ends", what)
	}
	for i, p := range l.Processes {
		add(p.StartedAt, "process %d starts", i)
		add(p.ReadyAt, "process %d is ready", i)
		add(p.TerminatedAt, "process %d gets SIGTERM", i)
		add(p.EndedAt, "process %d has ended (most descriptors %d, memory %d MB)", i, p.MostDescriptors, p.MostMemoryBytes>>20)
		for _, pause := range p.Pauses {
			span(pause, fmt.Sprintf("pause of process %d", i))
		}
	}
	for _, w := range l.Withdrawals {
		span(w.Span, fmt.Sprintf("withdrawal of endpoint %d", w.Endpoint))
	}
	for _, s := range l.Starts {
		add(s.At, "endpoint %d starts", s.Endpoint)
	}
	for _, s := range l.Silences {
		span(s, "silence of discovery")
	}
	for _, m := range l.Moves {
		add(m, "discovery moves")
	}
	for _, s := range l.Crowds {
		span(s, "crowd")
	}
	slices.SortStableFunc(all, func(a, b happening) int { return a.at.Compare(b.at) })
	for _, h := range all {
		lines = append(lines, fmt.Sprintf("%7.3f %s", h.at.Sub(l.Processes[0].StartedAt).Seconds(), h.text))
	}
	return lines
}
