package soak

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Uploads are keyed requests with bodies that a sidecar forwards while they arrive.
const (
	uploadRatio      = 0.2       // of the keyed requests, on a day with uploads
	minUpload        = 70 << 10  // more than a sidecar may buffer (PROTOCOL: bodies hold at most 64 KiB)
	maxUpload        = 250 << 10 // less than sockets buffer, so that a client can finish an upload that is not read
	uploadPieces     = 8
	maxPieceInterval = 40 * time.Millisecond
)

// Informational responses.
const (
	continueResponse   = "HTTP/1.1 100 Continue\r\n\r\n"
	earlyHintsResponse = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
)

// bodyOf returns the body of a request.
func bodyOf(id string, size int) []byte {
	var seed [32]byte
	binary.LittleEndian.PutUint32(seed[:], hashOf(id))
	body := make([]byte, size)
	_, _ = rand.NewChaCha8(seed).Read(body) // returns no error
	return body
}

// drawUpload draws the size of a keyed request's body; most have none.
func (c *client) drawUpload() int {
	if !c.uploads || c.uploadRandom.Float64() >= uploadRatio {
		return 0
	}
	size := minUpload + c.uploadRandom.IntN(maxUpload-minUpload)
	if c.hugeUploads && c.uploadRandom.Float64() < hugeUploadRatio {
		return hugeUpload
	}
	return size
}

// sendBody sends the body of a request in pieces. An error means that the connection has ended before.
func (c *client) sendBody(r Request) error {
	body := bodyOf(r.ID, r.BodyBytes)
	for n := range uploadPieces {
		time.Sleep(time.Duration(c.uploadRandom.Int64N(int64(maxPieceInterval))))
		if _, err := c.conn.Write(body[n*len(body)/uploadPieces : (n+1)*len(body)/uploadPieces]); err != nil {
			return err
		}
	}
	return nil
}

// receive reads the body of a request, and reports whether it came whole. An endpoint that informs sends informational responses before
// and within it.
func (e *endpoint) receive(c net.Conn, r *http.Request, m mode) bool {
	body := &bytes.Buffer{}
	if m == informs {
		_, _ = io.WriteString(c, continueResponse) // fails on a closed connection, whose read fails
		_, _ = io.CopyN(body, r.Body, r.ContentLength/2)
		_, _ = io.WriteString(c, earlyHintsResponse)
	}
	if _, err := io.Copy(body, r.Body); err != nil {
		return false
	}
	id := r.Header.Get("X-Request-Id")
	if !bytes.Equal(body.Bytes(), bodyOf(id, body.Len())) {
		e.log.addSpoilt(id)
	}
	return true
}

// respondEarly answers a request before its body has come, and reports whether the connection goes on: with a failure, with one that
// promises that nothing has run, or with an answer that has no end.
func (e *endpoint) respondEarly(c net.Conn, r *http.Request, changed <-chan struct{}) bool {
	id := r.Header.Get("X-Request-Id")
	head := "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	switch hashOf(id) % 3 {
	case 0:
		e.log.addPartial(id)
		answerPartly(c, id, trickles, changed)
		return false
	case 1:
		head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// checkBodies checks that each body came to endpoints as it was sent.
func (c *checker) checkBodies() {
	for _, id := range c.log.Spoilt {
		c.add(SpoiltBody, "%s came to an endpoint with another body", id)
	}
}

// contentLength returns the header line of a request's length.
func contentLength(r Request) string { return fmt.Sprintf("Content-Length: %d\r\n", r.BodyBytes) }
