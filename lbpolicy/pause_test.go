package lbpolicy

import (
	"container/heap"
	"fmt"
	"strings"
	"testing"
	"time"
)

// pausePool simulates a balancer in front of servers that answer after answerTime, of which one may hang. Each client has one request
// in flight at a time. The balancer's process can be paused while its servers go on. Its timers and the answers that are due in the
// pause come after it, the timers first.
type pausePool struct {
	t            *testing.T
	balancer     *Balancer
	now          time.Duration
	events       eventQueue
	lastSequence int
	timerDelay   time.Duration // of each timer
	hanging      ServerID      // 0: none
	hangingSince time.Duration // when the first request that it does not answer was sent; 0: none yet
	pausedFrom   time.Duration
	pausedTo     time.Duration
	thinkTime    time.Duration // between a client's requests
	nextID       RequestID
	attempts     map[RequestID]int
	inFlight     map[attemptKey]*simulatedAttempt
	stallFrom    time.Duration // answers are not read from then on, though the process runs
	stallTo      time.Duration
	lastServer   ServerID // that got the latest attempt
	hedges       int
	ejected      map[ServerID]time.Duration // when each was first ejected
	stopped      bool
}

const (
	answerTime = 10 * ms
	writeTime  = ms / 2 // after the decision, until the server has the request
	readTime   = ms     // after a pause, until the answers that arrived in it are read
)

type attemptKey struct {
	request RequestID
	attempt int
}

// simulatedAttempt is an attempt in flight.
type simulatedAttempt struct {
	server     ServerID
	writtenAt  time.Duration // 0: not yet
	answeredAt time.Duration // when the answer arrives, read or not; 0: no answer
}

type simulatedEvent struct {
	at       time.Duration
	sequence int // events at one time keep their order
	handle   func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newPausePool(t *testing.T, clients int, thinkTime time.Duration) *pausePool {
	t.Helper()
	p := &pausePool{t: t, now: sec, thinkTime: thinkTime, attempts: map[RequestID]int{}, inFlight: map[attemptKey]*simulatedAttempt{}, ejected: map[ServerID]time.Duration{}}
	var err error
	p.balancer, err = New(testSettings(), 7, p)
	if err != nil {
		t.Fatal(err)
	}
	p.balancer.UpdateEndpoints(sec, Full, readyServers(4))
	for i := range clients {
		p.schedule(time.Duration(i)*ms, p.sendRequest)
	}
	return p
}

// schedule schedules an event of the balancer's process. One that is due in a pause happens at its end.
func (p *pausePool) schedule(d time.Duration, handle func()) { p.scheduleAt(p.now+d, 0, handle) }

func (p *pausePool) scheduleAt(at, delayAfterPause time.Duration, handle func()) {
	if at >= p.pausedFrom && at < p.pausedTo {
		at = p.pausedTo + delayAfterPause
	}
	p.lastSequence++
	heap.Push(&p.events, simulatedEvent{max(at, p.now), p.lastSequence, handle})
}

// pause stops the process from now on.
func (p *pausePool) pause(d time.Duration) {
	p.pausedFrom, p.pausedTo = p.now, p.now+d
	queued := p.events
	p.events = nil
	for _, e := range queued {
		at := e.at
		if at < p.pausedTo {
			at = p.pausedTo
		}
		heap.Push(&p.events, simulatedEvent{at, e.sequence, e.handle})
	}
}

// run simulates until a time.
func (p *pausePool) run(until time.Duration) {
	for len(p.events) > 0 && p.events[0].at <= until {
		e := heap.Pop(&p.events).(simulatedEvent)
		p.now = e.at
		e.handle()
	}
	p.now = until
}

func (p *pausePool) sendRequest() {
	if p.stopped {
		return
	}
	p.nextID++
	p.balancer.Request(p.now, Request{ID: p.nextID, Class: 0, TimeLeft: 3 * sec})
}

// Send implements Host. An answer that arrives in a pause is read after it, later than the timers that were due.
func (p *pausePool) Send(id RequestID, s ServerID) {
	attempt := p.attempts[id]
	p.attempts[id]++
	if attempt > 0 {
		p.hedges++
	}
	p.lastServer = s
	key := attemptKey{id, attempt}
	a := &simulatedAttempt{server: s}
	p.inFlight[key] = a
	if s == p.hanging {
		if p.hangingSince == 0 {
			p.hangingSince = p.now
		}
		p.schedule(writeTime, func() { a.writtenAt = p.now })
		return
	}
	sentAt := p.now
	p.schedule(writeTime, func() {
		a.writtenAt = p.now
		a.answeredAt = p.now + answerTime
		p.scheduleArrival(a.answeredAt, func() {
			p.balancer.Outcome(p.now, Outcome{ID: id, Attempt: attempt, Server: s, Verdict: OK, Latency: p.now - sentAt, Final: true})
			delete(p.inFlight, key)
			p.schedule(p.thinkTime, p.sendRequest)
		})
	})
}

// scheduleArrival schedules an answer from the network. In a pause it waits in its socket.
func (p *pausePool) scheduleArrival(at time.Duration, handle func()) {
	if at >= p.stallFrom && at < p.stallTo {
		at = p.stallTo
	}
	p.scheduleAt(at, readTime, func() {
		if p.now == p.pausedTo { // the answer was in flight when the pause began
			p.scheduleAt(p.now+readTime, 0, handle)
			return
		}
		handle()
	})
}

func (p *pausePool) SetTimer(at time.Duration, token uint64) {
	p.scheduleAt(at+p.timerDelay, 0, func() { p.balancer.Timer(p.now, token) })
}

func (p *pausePool) Reject(id RequestID, _ time.Duration) { p.t.Errorf("request %d is rejected", id) }
func (p *pausePool) Fail(id RequestID)                    { p.t.Errorf("request %d fails", id) }
func (p *pausePool) CloseIdle(ServerID)                   {}
func (p *pausePool) Watch()                               {}

func (p *pausePool) Cancel(id RequestID, attempt int) {
	p.schedule(0, func() {
		delete(p.inFlight, attemptKey{id, attempt})
		p.balancer.Outcome(p.now, Outcome{ID: id, Attempt: attempt, Verdict: Cancelled, Latency: answerTime})
	})
}

func (p *pausePool) ServerProgress(s ServerID) (progress ServerProgress) {
	for key, a := range p.inFlight {
		if a.server != s {
			continue
		}
		progress.HasUnreadResponse = progress.HasUnreadResponse || a.answeredAt > 0 && a.answeredAt <= p.now
		if sentAt := p.WaitingSince(key.request, key.attempt); progress.WaitingSince == 0 || sentAt < progress.WaitingSince {
			progress.WaitingSince = sentAt
		}
	}
	return progress
}

func (p *pausePool) WaitingSince(id RequestID, attempt int) time.Duration {
	if a := p.inFlight[attemptKey{id, attempt}]; a != nil && a.writtenAt > 0 {
		return a.writtenAt
	}
	return p.now
}

func (p *pausePool) ResponseProgress(RequestID, int) ResponseProgress { return ResponseAwaited }
func (p *pausePool) RecordHedge(Hedge)                                {}

func (p *pausePool) Log(string) {}

func (p *pausePool) LogServer(server ServerID, line string) {
	var id ServerID
	if strings.Contains(line, " out: silent") {
		if _, err := fmt.Sscanf(line, "server %d out:", &id); err != nil || id != server {
			p.t.Errorf("server %d: %s: %v", server, line, err)
		}
		if _, known := p.ejected[id]; !known {
			p.ejected[id] = p.now
		}
	}
}

// A pause of the balancer's process does not count as silence of its servers. After a pause, a timer that was due or the first answer
// has the servers checked, before the answers that arrived in the pause are read. The fault that this guards against: each server
// with a request in flight was ejected ("out: silent") and each of these requests was hedged. A trace of it has the timer, the
// ejections and then the answers, all within a millisecond.
func TestPauseIsNoSilence(t *testing.T) {
	for _, clients := range []int{1, 8} {
		for _, pause := range []time.Duration{30 * ms, 150 * ms, 300 * ms, 2 * sec} {
			t.Run(fmt.Sprintf("%d clients, %v", clients, pause), func(t *testing.T) {
				p := newPausePool(t, clients, 0)
				p.run(3 * sec)
				for range 50 {
					p.run(p.now + 577*ms)
					p.pause(pause)
					p.run(p.now + pause)
				}
				p.run(p.now + sec)
				if len(p.ejected) > 0 || p.hedges > 0 {
					t.Errorf("ejected %v, %d hedged requests, want none", p.ejected, p.hedges)
				}
				if p.nextID < 100 {
					t.Errorf("test has too little effect: %d requests, want at least 100", p.nextID)
				}
			})
		}
	}
}

// Answers that have arrived but are read late, by a process whose timers run, do not count as silence of their servers
// (docs/incidents/answers-read-late.md).
func TestAnswersReadLateEjectNoServer(t *testing.T) {
	for _, clients := range []int{1, 8} {
		for _, stall := range []time.Duration{30 * ms, 90 * ms, 150 * ms, 2 * sec} {
			t.Run(fmt.Sprintf("%d clients, %v", clients, stall), func(t *testing.T) {
				p := newPausePool(t, clients, 0)
				p.run(3 * sec)
				for range 50 {
					p.run(p.now + 577*ms)
					p.stallFrom, p.stallTo = p.now, p.now+stall
					p.run(p.stallTo)
				}
				p.run(p.now + sec)
				if len(p.ejected) > 0 || p.hedges > 0 {
					t.Errorf("ejected %v, %d hedged requests, want none", p.ejected, p.hedges)
				}
				if p.nextID < 100 {
					t.Errorf("test has too little effect: %d requests, want at least 100", p.nextID)
				}
			})
		}
	}
}

// A server that hangs is ejected once its requests have waited unresponsiveMultiple times the usual latency, at the next check of the
// period. Late timers delay that by at most twice their delay, and a pause of the process by at most its length.
func TestHangingServerIsFound(t *testing.T) {
	const phases = 40
	for _, test := range []struct {
		clients           int
		timerDelay, pause time.Duration
	}{{8, 0, 0}, {8, 5 * ms, 0}, {8, 20 * ms, 0}, {8, 50 * ms, 0}, {8, 0, 150 * ms}, {8, 20 * ms, 300 * ms},
		{2, 0, 0}, {2, 5 * ms, 0}, {2, 50 * ms, 0}, {2, 0, 300 * ms}} {
		t.Run(fmt.Sprintf("%d clients, timers late by %v, pause %v", test.clients, test.timerDelay, test.pause), func(t *testing.T) {
			sum, longest := time.Duration(0), time.Duration(0)
			for phase := range phases {
				p := newPausePool(t, test.clients, 0)
				p.timerDelay = test.timerDelay
				p.run(3*sec + time.Duration(phase)*7*ms)
				p.hanging = p.lastServer
				usual := p.balancer.usualLatency()
				if test.pause > 0 {
					p.run(p.now + 20*ms)
					p.pause(test.pause)
				}
				for p.ejected[p.hanging] == 0 && p.now < 20*sec {
					p.run(p.now + ms)
				}
				ejectedAfter := p.ejected[p.hanging] - p.hangingSince
				sum += ejectedAfter
				longest = max(longest, ejectedAfter)
				wait := time.Duration(unresponsiveMultiple * usual * float64(sec))
				if allowed := wait + p.balancer.period + test.pause + 2*test.timerDelay + answerTime; ejectedAfter > allowed {
					t.Errorf("phase %d: hanging server ejected after %v, want at most %v", phase, ejectedAfter, allowed)
				}
				if len(p.ejected) != 1 {
					t.Errorf("phase %d: ejected %v, want the hanging server alone", phase, p.ejected)
				}
			}
			t.Logf("hanging server ejected after %v on average, %v at most", sum/phases, longest)
		})
	}
}
