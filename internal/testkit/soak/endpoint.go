package soak

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// What the settings tell of endpoints (settings.go).
const (
	endpointCount      = 6
	endpointCapacity   = 200.0 // requests per second of a warm endpoint
	startCapacity      = 0.2   // of a cold one
	slowStart          = 5 * time.Second
	overloadWindow     = time.Second
	overloadMultiple   = 2.0
	connectionIdle     = 5 * time.Second
	minWork            = 4 * time.Millisecond // of a request
	maxWork            = 16 * time.Millisecond
	rateTime           = time.Second // over which an endpoint reports its rate
	drainTime          = 1500 * time.Millisecond
	downTime           = 700 * time.Millisecond // from the end of a process to the next one
	endpointReadBuffer = 4 << 10
)

// mode is how an endpoint treats requests.
type mode int

const (
	answers mode = iota
	hangs
	fails
	resets
	stalls   // begins an answer in pieces, and sends no more of it
	trickles // sends an answer without an end, a byte at a time
	informs  // sends informational responses while the body of a request is on its way
	precedes // answers requests before their bodies have come
	lumps    // writes long answers slowly
	stuck    // stops reading requests with large bodies
)

// Answers that have no end.
const (
	pieceInterval = 90 * time.Millisecond
	stalledPieces = 4 // over a longer time than an answer that comes slowly is held back
	smallLength   = 4 << 10
)

// endpoint is one server of the pool. Its process can end and start anew, with another address.
type endpoint struct {
	number int
	zone   string
	log    *Log

	mu        sync.Mutex
	listener  net.Listener
	conns     map[net.Conn]bool
	mode      mode
	changed   chan struct{} // closed when the mode changes
	stopped   bool          // its process has ended
	startedAt time.Time     // zero: long ago
	rate      float64       // per second
	ratedAt   time.Time
}

func newEndpoint(number int, log *Log) (*endpoint, error) {
	e := &endpoint{number: number, zone: zoneNames[number%len(zoneNames)], log: log, changed: make(chan struct{})}
	return e, e.start(time.Time{})
}

// start starts a process of the endpoint.
func (e *endpoint) start(at time.Time) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener, e.conns, e.startedAt, e.rate, e.ratedAt = l, map[net.Conn]bool{}, at, 0, time.Now()
	e.stopped = false
	e.mu.Unlock()
	go e.accept(l)
	return nil
}

// stop ends the process of the endpoint with all its connections.
func (e *endpoint) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.Close()
	e.stopped = true
	for c := range e.conns {
		c.Close()
	}
}

func (e *endpoint) setMode(m mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = m
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *endpoint) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

// serve serves the requests of a connection.
func (e *endpoint) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReaderSize(c, endpointReadBuffer)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		mode, changed := e.currentMode()
		if mode == precedes && r.ContentLength > 0 {
			if !e.respondEarly(c, r, changed) {
				return
			}
			continue
		}
		if mode == stuck && e.stopReading(r, changed) || !e.receive(c, r, mode) {
			return
		}
		timeout, _ := strconv.Atoi(r.Header.Get("X-Timeout-Ms")) // an invalid one is 0: none
		a := Arrival{
			ID: r.Header.Get("X-Request-Id"), Class: r.Header.Get("X-Priority-Class"), Key: r.Header.Get("Idempotency-Key"),
			Endpoint: e.number, Zone: e.zone, At: firstByte, Timeout: time.Duration(timeout) * time.Millisecond,
		}
		e.log.addArrival(a)
		if !e.answer(c, a.ID) {
			return
		}
	}
}

// currentMode returns the mode and the channel that is closed when it changes.
func (e *endpoint) currentMode() (mode, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode, e.changed
}

// answer treats a request by the endpoint's mode, and reports whether the connection goes on.
func (e *endpoint) answer(c net.Conn, id string) bool {
	mode, changed := e.currentMode()
	report := e.countRequest()
	status, body := "200 OK", answerTo(id)
	switch mode {
	case hangs:
		<-changed
		return false
	case resets:
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case fails:
		status, body = "500 Internal Server Error", "failed"
	case lumps:
		return e.answerSlowly(c, id)
	case stalls, trickles:
		e.log.addPartial(id)
		answerPartly(c, id, mode, changed)
		return false
	default:
		time.Sleep(minWork + time.Duration(hashOf(id))%(maxWork-minWork))
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Server-Load: %s\r\nContent-Length: %d\r\n\r\n%s", status, report, len(body), body)
	return err == nil
}

// answerPartly begins an answer that has no end, and resets the connection when the mode changes. The head says nothing of the
// length, or that it comes in chunks, or a length.
func answerPartly(c net.Conn, id string, m mode, changed <-chan struct{}) {
	_ = c.(*net.TCPConn).SetLinger(0) // fails on a closed connection
	framing := []string{"Connection: close", "Transfer-Encoding: chunked", fmt.Sprint("Content-Length: ", smallLength)}[hashOf(id)%3]
	piece := "x"
	if hashOf(id)%3 == 1 {
		piece = "1\r\nx\r\n"
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", framing); err != nil {
		return
	}
	for n := 0; m == trickles || n < stalledPieces; n++ {
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
		select {
		case <-changed:
			return
		case <-time.After(pieceInterval):
		}
	}
	<-changed
}

// countRequest counts a request in the rate, and returns the load report.
func (e *endpoint) countRequest() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.rate = e.rate*math.Exp(-now.Sub(e.ratedAt).Seconds()/rateTime.Seconds()) + 1/rateTime.Seconds()
	e.ratedAt = now
	capacity := endpointCapacity
	if !e.startedAt.IsZero() {
		capacity *= min(1, startCapacity+(1-startCapacity)*now.Sub(e.startedAt).Seconds()/slowStart.Seconds())
	}
	return fmt.Sprintf("util=%.3f,qps=%.1f", min(e.rate/capacity, 1), e.rate)
}

// answerTo returns the body of an answer, by which its request is known.
func answerTo(id string) string { return "answer to " + id }

// hashOf spreads the work of requests, the same in each play.
func hashOf(id string) uint32 {
	h := uint32(2166136261) // FNV-1a
	for _, b := range []byte(id) {
		h = (h ^ uint32(b)) * 16777619
	}
	return h >> 8
}
