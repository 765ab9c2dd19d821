package ratelog

import (
	"strings"
	"testing"

	"golang.org/x/time/rate"
)

// Lines that were dropped from the log go unnoticed where the next line does not tell of them.
func TestDroppedLogLinesAreCounted(t *testing.T) {
	q := &lineQueue{lines: make(chan []byte, 1), limit: rate.NewLimiter(rate.Inf, 1)}
	write := func() {
		if n, err := q.Write([]byte("line\n")); n != len("line\n") || err != nil {
			t.Fatalf("wrote %d bytes: %v", n, err)
		}
	}
	for range 3 { // the queue holds one
		write()
	}
	first := string(<-q.lines)
	write()
	second := string(<-q.lines)
	write()
	third := string(<-q.lines)
	if first != "line\n" || second != "line lines_dropped_before=2\n" || third != "line\n" {
		t.Errorf("lines %q", strings.Join([]string{first, second, third}, ""))
	}
}
