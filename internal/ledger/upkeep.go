package ledger

import (
	"errors"
	"os"
	"time"

	"silvertrail/internal/ledger/commit"
	"silvertrail/internal/ledger/segment"
)

// watch lets those go who have waited too long, and has what nobody waits for be written. It touches no disk, so that it goes
// on where one hangs.
func (l *Ledger) watch() {
	tick := time.NewTicker(min(max(l.options.Load().Commit.Patience/4, time.Millisecond), lookEvery))
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			l.mu.Lock()
			l.written.expire(now)
			l.durable.expire(now)
			l.moved(now)
			l.mu.Unlock()
			wake(l.wakeWriter)
		case <-l.done:
			return
		}
	}
}

// look watches the time of day and the directory, and has old segments and keys go.
func (l *Ledger) look() {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	var tidied time.Time
	for {
		l.clock()
		if now := time.Now(); now.Sub(tidied) >= tidyEvery {
			tidied = now
			l.tidy(now)
		}
		select {
		case <-tick.C:
		case <-l.done:
			return
		}
	}
}

var errGone = errors.New("the segment in use is not in the directory any more")

// gone tells whether the segment in use has been removed: writes to it would succeed, and be lost.
func (l *Ledger) gone() bool {
	l.mu.Lock()
	number := l.files[len(l.files)-1].Number
	l.mu.Unlock()
	_, err := l.disk.Size(name(number))
	return errors.Is(err, os.ErrNotExist)
}

// clock records that the time of day was set.
func (l *Ledger) clock() {
	now := time.Now()
	gone := l.gone()
	l.slept.Store(int64(max(l.since()-l.beganAt-now.Sub(l.began), 0)))
	at := l.at()
	l.mu.Lock()
	defer l.mu.Unlock()
	if gone {
		l.commit.Fail(now, errGone)
		l.moved(now)
		wake(l.wakeWriter)
	}
	shift := now.Round(0).Sub(l.began.Round(0).Add(at))
	if d := shift - l.shift; d > clockMoved || d < -clockMoved {
		l.shift = shift
		l.add(&segment.Record{Kind: segment.Clock, At: at, Wall: now.UnixMicro()}, true)
		l.log.Warn("ledger: the time of day was set", "by", d)
	}
	if why, _ := l.commit.Ready(now); why == "" && l.missed.Count > 0 {
		r := l.missed
		if _, ok := l.add(&r, true); ok {
			l.missed = segment.Record{}
		}
	}
	l.tell(now)
}

// miss counts a request that is served without a record. The lock is held.
func (l *Ledger) miss() {
	at := l.at()
	if l.missed.Count == 0 {
		l.missed.Kind, l.missed.Since = segment.Missed, at
	}
	l.missed.At = at
	l.missed.Count++
	l.missing++
}

func (l *Ledger) tidy(now time.Time) {
	if l.recalls.Load() {
		l.mu.Lock()
		if l.recovered.Expire(now); l.recovered.Len() == 0 {
			l.prints = nil
			l.recalls.Store(false)
		}
		l.mu.Unlock()
	}
	l.mu.Lock()
	files := append([]commit.Segment{}, l.files[:len(l.files)-1]...) // the last one is being written
	l.mu.Unlock()
	out, over := l.options.Load().Keeping.Go(now, files)
	if over {
		l.log.Warn("ledger: over its size, as younger segments are needed for keys")
	}
	for _, n := range out {
		if err := l.disk.Remove(name(n)); err != nil && !errors.Is(err, os.ErrNotExist) {
			l.log.Warn("ledger: an old segment stays", "error", err)
			return
		}
		l.mu.Lock()
		l.files = l.files[1:]
		l.mu.Unlock()
	}
}
