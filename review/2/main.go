// Command 2 is a case of the review: some endpoints send a 100 Continue ahead of their answers, while slow clients send bodies of
// 200 kB.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"silvertrail/internal/testkit/fake"
	"silvertrail/review/standin"
)

const (
	endpoints   = 3
	uploads     = 24
	uploadPause = 100 * time.Millisecond // between the starts of two uploads
	bodyBytes   = 200_000
	bytesPerSec = 80_000 // "a body at 64 kB a second" is the slowest of the pages
	pieces      = 50     // in which a client writes its body
	aheadOneIn  = 3      // requests: one gets a 100 Continue ahead of its answer
	work        = 50 * time.Millisecond
	timeLeft    = 3 * time.Second // of the class's 6 s
	answerSlack = 500 * time.Millisecond
	longest     = 20 * time.Second // that a client waits after its last byte, to record when the answer comes
	idleTime    = 5 * time.Second  // limits.conn_idle of the settings
)

func main() { standin.Run(run) }

func run(c *standin.Case) (broken bool, err error) {
	var entries []fake.DiscoveryEntry
	var requests atomic.Int64
	for i := range endpoints {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		e := &endpoint{c: c, name: fmt.Sprintf("s-%d", i), requests: &requests}
		go e.accept(l)
		entries = append(entries, fake.DiscoveryEntry{Name: e.name, Address: l.Addr().String(), Zone: "sala-centro", Type: "one-core", Group: 1,
			Status: "ready", Weight: 1})
	}
	discovery, err := fake.NewDiscovery(fake.DiscoveryOptions{}, entries)
	if err != nil {
		return false, err
	}
	listen, err := standin.FreeAddress()
	if err != nil {
		return false, err
	}
	sidecar, err := c.StartSidecar(standin.Config{Listen: listen, Discovery: discovery.Addr, Sockets: 1024, Zones: []string{"sala-centro"},
		Classes: []standin.Class{{Name: "documentos", Deadline: 6, GoalTime: 2.5, Effect: "guarded", KeyScope: "all", Window: 10, Worth: 3, LateWorth: 0.5}}}, "sidecar")
	if err != nil {
		return false, err
	}
	defer sidecar.Stop()
	if err := sidecar.AwaitReady(); err != nil {
		return false, err
	}
	var served, lost, failed atomic.Int64
	var all sync.WaitGroup
	for range uploads {
		all.Go(func() {
			u := send(c, listen)
			switch {
			case u.written.IsZero():
				failed.Add(1)
			case u.answered.IsZero() || u.answered.After(u.written.Add(timeLeft+answerSlack)):
				lost.Add(1)
			case u.status == http.StatusOK:
				served.Add(1)
			default:
				failed.Add(1)
			}
		})
		time.Sleep(uploadPause)
	}
	all.Wait()
	c.Summary("%d uploads: %d served in time, %d answered in time with a failure or not sent, %d without an answer %v after their last byte",
		uploads, served.Load(), failed.Load(), lost.Load(), timeLeft+answerSlack)
	if served.Load() == 0 {
		return false, errors.New("no upload was served")
	}
	return lost.Load() > 0, nil
}

// endpoint answers the requests of its connections.
type endpoint struct {
	c        *standin.Case
	name     string
	requests *atomic.Int64 // of all endpoints
}

func (e *endpoint) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(idleTime))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		conn.SetReadDeadline(time.Time{})
		id := request.Header.Get("X-Request-Id")
		if e.requests.Add(1)%aheadOneIn == 0 && e.c.Trouble {
			e.c.Record.Printf("endpoint %s: sends 100 Continue for %s", e.name, id)
			if _, err := io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return
			}
		}
		n, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			e.c.Record.Printf("endpoint %s: %s ends after %d bytes of its body: %v", e.name, id, n, err)
			return
		}
		e.c.Record.Printf("endpoint %s: runs %s, %d bytes", e.name, id, n)
		time.Sleep(work)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id); err != nil {
			return
		}
	}
}

// upload is one request with its body, and what came of it.
type upload struct {
	written  time.Time // when the last byte was written to the connection; zero: never
	answered time.Time // zero: not within the longest wait
	status   int
}

// send sends a request on a connection of its own, at an even rate, and waits for its answer.
func send(c *standin.Case, listen string) (u upload) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return u
	}
	defer conn.Close()
	began := time.Now()
	since := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return t.Sub(began).Round(time.Millisecond).String()
	}
	answer := make(chan upload, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			answer <- upload{}
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		c.Record.Printf("client %s: status %d, body error %v", id, response.StatusCode, err)
		answer <- upload{answered: time.Now(), status: response.StatusCode}
	}()
	if writeSlowly(conn, id) == nil {
		u.written = time.Now()
	}
	conn.SetReadDeadline(time.Now().Add(longest))
	a := <-answer
	u.answered, u.status = a.answered, a.status
	c.Record.Printf("client %s: last byte written after %s, answered after %s", id, since(u.written), since(u.answered))
	return u
}

func writeSlowly(conn net.Conn, id string) error {
	_, err := fmt.Fprintf(conn, "POST /documentos/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: documentos\r\nX-Timeout-Ms: %d\r\n"+
		"Idempotency-Key: %s%s\r\nContent-Length: %d\r\n\r\n", id, timeLeft.Milliseconds(), id, id, bodyBytes)
	piece := make([]byte, bodyBytes/pieces)
	for i := 0; i < pieces && err == nil; i++ {
		time.Sleep(time.Second * time.Duration(len(piece)) / bytesPerSec)
		_, err = conn.Write(piece)
	}
	return err
}
