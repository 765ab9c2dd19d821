package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Peers that are slow, on slow days.
const (
	slowDivider = 2 // one day in so many is slow

	longBody      = 100 << 10 // over 64 KiB the first bytes of an answer are timed (ops/DAYS, "Size")
	firstLump     = 40 << 10
	lumpPause     = 350 * time.Millisecond
	longAnswerEnd = 3 * time.Second // a client waits so much longer for the rest of a long answer

	hugeUpload      = 6 << 20 // more than the buffers of an endpoint that stops reading take
	hugeUploadRatio = 0.1     // of the uploads, on a slow day
	stuckBytes      = 16 << 10

	slowClients      = 60 // connected at once, beside the usual ones
	slowPieceBytes   = 1 << 10
	slowPiece        = 50 * time.Millisecond
	slowReadBuffer   = 4 << 10
	shortFieldCount  = 1500
	stoppedUploadAll = 512 << 10
)

// longAnswer returns the body of a long answer, by which its request is known.
func longAnswer(id string) string {
	text := answerTo(id) + " "
	return text + strings.Repeat(".", longBody-len(text))
}

// answerSlowly writes a long answer in two lumps, or its body long after its head, and reports whether the connection goes on. The head tells
// a length, chunks, or nothing. A body that begins late has a length: without one it may be a small one, whose last byte is due.
func (e *endpoint) answerSlowly(c net.Conn, id string) bool {
	body := longAnswer(id)
	hash := hashOf(id)
	framing := hash % 3
	first := firstLump
	if framing == 2 && hash/3%2 == 0 {
		first = 0
	}
	head := []string{"Connection: close", "Transfer-Encoding: chunked", fmt.Sprint("Content-Length: ", len(body))}[framing]
	err := write(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n\r\n")
	for n, lump := range []string{body[:first], body[first:]} {
		if n > 0 {
			time.Sleep(lumpPause)
			e.checkStillRead(c, id)
		}
		if framing == 1 && lump != "" {
			lump = fmt.Sprintf("%x\r\n%s\r\n", len(lump), lump)
		}
		if err == nil {
			err = write(c, lump)
		}
	}
	if framing == 1 && err == nil {
		err = write(c, "0\r\n\r\n")
	}
	if err != nil && e.isStopped(c) {
		e.log.addPartial(id)
	}
	return err == nil && framing != 0
}

// checkStillRead records a connection that the sidecar has closed while the endpoint was writing an answer.
func (e *endpoint) checkStillRead(c net.Conn, id string) {
	var b [1]byte
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(b[:]) // the sidecar sends nothing before the answer is complete
	_ = c.SetReadDeadline(time.Time{})
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !e.isStopped(c) {
		e.log.addAbandoned(id, time.Now())
	}
}

func write(c net.Conn, text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// isStopped reports whether the endpoint's process that had a connection has ended.
func (e *endpoint) isStopped(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped || !e.conns[c]
}

// stopReading reads a part of a body, and no more until the mode changes. It reports whether the request was left so.
func (e *endpoint) stopReading(r *http.Request, changed <-chan struct{}) bool {
	if r.ContentLength <= stuckBytes {
		return false
	}
	_, _ = io.CopyN(io.Discard, r.Body, stuckBytes) // the connection ends in either case
	<-changed
	return true
}

// slowCrowd has clients write slowly, stop half way through a request, send heads of many short fields or read slowly, for a time.
func slowCrowd(f *front, length time.Duration) {
	until := time.Now().Add(length)
	var wait sync.WaitGroup
	for n := range slowClients {
		wait.Go(func() {
			for time.Now().Before(until) {
				if !f.open.Load() {
					time.Sleep(redialDelay)
					continue
				}
				conn, err := net.DialTimeout("tcp", f.address, time.Second)
				if err != nil {
					continue
				}
				_ = conn.SetDeadline(until)
				beSlow(conn, n, until)
				conn.Close()
				time.Sleep(slowPiece)
			}
		})
	}
	wait.Wait()
}

// beSlow does what one slow client does on a connection. Errors mean that the sidecar has ended it.
func beSlow(conn net.Conn, number int, until time.Time) {
	id := fmt.Sprintf("slow-%d-%d", number, time.Now().UnixNano())
	get := fmt.Sprintf("GET /%s/a HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n", classFree, id, classFree)
	post := fmt.Sprintf("POST /%s/a HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n",
		classKeyed, id, classKeyed, id, stoppedUploadAll)
	switch number % 4 {
	case 0: // a head a piece at a time
		for text := get + strings.Repeat("X-Padding: ........\r\n", shortFieldCount); text != "" && time.Now().Before(until); {
			n := min(slowPieceBytes, len(text))
			if write(conn, text[:n]) != nil {
				return
			}
			text = text[n:]
			time.Sleep(slowPiece)
		}
	case 1: // half of an upload
		if write(conn, post+strings.Repeat("u", stoppedUploadAll/2)) == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	case 2: // very many short fields
		var fields strings.Builder
		for n := range shortFieldCount {
			fmt.Fprintf(&fields, "x%x:\r\n", n)
		}
		if write(conn, get+fields.String()+"\r\n") == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	default: // a reader that takes a little at a time
		_ = conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
		if write(conn, get+"\r\n") != nil {
			return
		}
		for buffer := make([]byte, slowPieceBytes); time.Now().Before(until); time.Sleep(slowPiece) {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
		}
	}
}
