package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clientCount     = 12
	newcomerCount   = 4 // of them, in a crowd: each request on a new connection
	maxThinkTime    = 40 * time.Millisecond
	timeoutDivider  = 5           // divides the longest deadline: no client waits for less
	answerPatience  = time.Second // beyond the bound of a late answer: then there is none
	redialDelay     = 20 * time.Millisecond
	leaveRatio      = 0.06 // of the requests, on a day on which clients leave
	maxStay         = 60 * time.Millisecond
	extraAnswerWait = 2 * time.Millisecond
)

// front tells clients whether new connections may be made: it takes a sidecar in when that is ready, and out soon after
// SIGTERM (PROTOCOL, "Callers to sidecars" and "Figures").
type front struct {
	address string
	open    atomic.Bool
	crowded atomic.Bool
	stopped atomic.Bool
}

// client is a caller with one connection, which it keeps while it is open.
type client struct {
	number      int
	front       *front
	log         *Log
	random      *rand.Rand
	leaves      bool
	maxDeadline time.Duration // of its requests
	conn        net.Conn
	reader      *bufio.Reader
	unused      bool // no request has gone out on the connection
	counter     int

	uploads      bool
	hugeUploads  bool
	uploadRandom *rand.Rand
}

// run sends one request after the other until the day ends.
func (c *client) run() {
	for !c.front.stopped.Load() {
		if !c.connect() {
			time.Sleep(redialDelay)
			continue
		}
		c.ask()
		if c.conn != nil && c.front.crowded.Load() && c.number < newcomerCount {
			c.disconnect()
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(maxThinkTime))))
	}
	if c.conn != nil {
		c.disconnect()
	}
}

// connect reports whether there is a connection. On a kept one that was closed meanwhile there is a new one.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	if !c.front.open.Load() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.front.address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.unused = conn, bufio.NewReader(conn), true
	return true
}

func (c *client) disconnect() {
	c.conn.Close()
	c.conn = nil
}

// ask sends one request and records how it ends.
func (c *client) ask() {
	c.counter++
	r := Request{ID: fmt.Sprintf("c%d-%d", c.number, c.counter), Class: c.drawClass(), NewConnection: c.unused}
	c.unused = false
	minTimeout := c.maxDeadline / timeoutDivider
	timeout := minTimeout + time.Duration(c.random.Int64N(int64(c.maxDeadline-minTimeout)))
	if r.Class == classKeyed {
		r.Key = "key-" + r.ID
		r.BodyBytes = c.drawUpload()
	}
	stay := time.Duration(0)
	if c.leaves && c.random.Float64() < leaveRatio {
		stay = time.Duration(1 + c.random.Int64N(int64(maxStay)))
	}
	if _, err := io.WriteString(c.conn, head(r, timeout)); err != nil { // it was closed between two requests
		c.disconnect()
		return
	}
	if r.BodyBytes > 0 {
		if err := c.sendBody(r); err != nil { // the last byte was not written, so that no answer is due
			c.disconnect()
			return
		}
	}
	r.SentAt = time.Now()
	r.Deadline = r.SentAt.Add(timeout)
	c.await(&r, stay)
	c.log.addRequest(r)
}

// drawClass draws a class; most requests can be repeated.
func (c *client) drawClass() string {
	switch n := c.random.IntN(10); {
	case n < 6:
		return classFree
	case n < 9:
		return classKeyed
	}
	return classUnsafe
}

// head returns a request as it is written.
func head(r Request, timeout time.Duration) string {
	method := http.MethodPost
	if r.Class == classFree {
		method = http.MethodGet
	}
	text := fmt.Sprintf("%s /%s/a HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n",
		method, r.Class, r.ID, r.Class, timeout.Milliseconds())
	if r.Key != "" {
		text += "Idempotency-Key: " + r.Key + "\r\n"
	}
	if method == http.MethodPost {
		text += contentLength(r)
	}
	return text + "\r\n"
}

// await waits for the answer, or leaves after its stay.
func (c *client) await(r *Request, stay time.Duration) {
	patience := r.Deadline.Add(lateAnswerBound + answerPatience)
	if stay > 0 {
		patience = r.SentAt.Add(stay)
	}
	_ = c.conn.SetReadDeadline(patience) // fails on a closed connection, whose read fails
	response, err := http.ReadResponse(c.reader, nil)
	begun := err == nil
	var body []byte
	if begun {
		r.BegunAt = time.Now()
		if stay == 0 {
			_ = c.conn.SetReadDeadline(patience.Add(longAnswerEnd))
		}
		body, err = io.ReadAll(response.Body)
	}
	r.EndedAt, r.AnswerBytes = time.Now(), len(body)
	switch {
	case err == nil:
		r.Ending, r.Status = Answered, response.StatusCode
		r.WrongAnswer = c.wrongAnswer(response.StatusCode, string(body), r.ID)
		if response.Close {
			c.disconnect()
		}
		return
	case errors.Is(err, os.ErrDeadlineExceeded) && stay > 0:
		r.Ending = Left
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.Ending = Unanswered
	case begun:
		r.Ending = CutOff
	default:
		r.Ending = Closed
	}
	c.disconnect()
}

// wrongAnswer returns what is wrong with an answer, or nothing.
func (c *client) wrongAnswer(status int, body, id string) string {
	if status == http.StatusOK && body != answerTo(id) && body != longAnswer(id) {
		return fmt.Sprintf("200 with %.60q", body)
	}
	if status >= 400 && status < 500 && status != http.StatusTooManyRequests {
		return fmt.Sprintf("status %d for a valid request", status)
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(extraAnswerWait))
	if extra, err := c.reader.Peek(1); err == nil {
		return fmt.Sprintf("%q behind the answer", extra)
	}
	return ""
}

const (
	crowdConnections = 300 // more than the descriptors that the settings allow
	crowdInterval    = time.Millisecond
)

// crowd connects idle clients, some of which send a part of a head, for a time.
func crowd(f *front, length time.Duration) {
	until := time.Now().Add(length)
	var wait sync.WaitGroup
	for n := range crowdConnections {
		time.Sleep(crowdInterval)
		if !f.open.Load() {
			continue
		}
		conn, err := net.DialTimeout("tcp", f.address, time.Second)
		if err != nil {
			continue
		}
		wait.Go(func() {
			defer conn.Close()
			if n%4 == 0 {
				_, _ = io.WriteString(conn, "GET /"+classFree) // a closed one is another newcomer's place
			}
			_ = conn.SetReadDeadline(until)
			_, _ = io.Copy(io.Discard, conn)
		})
	}
	wait.Wait()
}
