package upstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"silvertrail/lbpolicy"
)

const (
	// streamWriteTimeout is how long an endpoint may accept no bytes of a streamed body. The request's time may end earlier.
	streamWriteTimeout = 5 * time.Second
	streamChunkBytes   = 16 << 10
	lastChunk          = "0\r\n\r\n"
)

var (
	// errRequestBody means that a streamed body could not be read completely from the client, or is read by another attempt. The
	// endpoint is not at fault.
	errRequestBody = errors.New("request body incomplete")
	// errEarlyResponse means that the final response began, or the connection ended, before the body was complete.
	errEarlyResponse = errors.New("response arrived or connection ended before the request body was complete")
)

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamChunkBytes); return &b }}

// The states of an upload.
const (
	uploading   int32 = iota
	interrupted       // the final response began, or the connection ended, before the body was written
	written           // the body was written, or its writing failed, before a final response began
)

// upload is an attempt whose request body is still arriving from the client. One goroutine writes the request, and another one reads
// the response meanwhile: an endpoint that responds before the body is complete gets no more of the body. An informational response
// is no response in this sense; the body goes on after it (RFC 9110, 15.2).
type upload struct {
	conn     *conn
	request  *Request
	chunked  bool
	state    atomic.Int32
	hasBegun chan struct{}         // closed once a final response has begun or the connection has ended
	response chan receivedResponse // gets one value once the response has been read
}

// receivedResponse is the result of reading a response: see conn.readResponse.
type receivedResponse struct {
	response *Response
	reusable bool
	err      error
}

// upload sends a request whose body is still arriving, and returns the outcome of the attempt.
func (p *Pool) upload(c *conn, r *Request) outcome {
	u := &upload{conn: c, request: r, chunked: r.Stream.Length() < 0, hasBegun: make(chan struct{}), response: make(chan receivedResponse, 1)}
	err := u.write()
	switch {
	case errors.Is(err, errRequestBody):
		return outcome{verdict: lbpolicy.NotSent, err: err}
	case err != nil && !errors.Is(err, errEarlyResponse):
		return outcome{verdict: lbpolicy.ConnectFailed, err: fmt.Errorf("%w: %w", errRequestNotWritten, err)}
	}
	if err == nil {
		p.recordSent()
	}
	received := <-u.response
	c.SetWriteDeadline(time.Time{})
	return p.responseOutcome(c, received, err == nil)
}

// write writes the head, the part of the body that has arrived, and the rest of the body as it arrives.
func (u *upload) write() error {
	timeLeft := u.request.TimeLeft - time.Since(u.request.Stream.EarliestEnd())
	head := appendHead(make([]byte, 0, requestBufferBytes), u.request, timeLeft)
	u.conn.progress.recordSent()
	if err := u.writeParts(head); err != nil {
		return err
	}
	err := u.writeChunk(u.request.Body)
	if err != nil && !u.conn.hasUnread() {
		return err
	}
	if !u.request.Stream.Acquire() { // another attempt reads the rest of the body
		return fmt.Errorf("%w: the rest is read by another attempt", errRequestBody)
	}
	go u.readResponse()
	if err == nil {
		err = u.copyBody()
	}
	if err == nil {
		err = u.writeLastChunk()
	}
	if u.mayHaveResponse(err) {
		u.awaitResponse()
	}
	isInterrupted := !u.state.CompareAndSwap(uploading, written)
	if err != nil {
		if isInterrupted {
			return errEarlyResponse
		}
		return err
	}
	u.request.Stream.MarkForwarded()
	return nil
}

// mayHaveResponse reports whether a response may have arrived that the reading has not noticed yet, after a write has failed. An endpoint
// that closes the connection right after its response breaks the writing, which may be noticed first.
func (u *upload) mayHaveResponse(err error) bool {
	switch {
	case err == nil, errors.Is(err, errRequestBody):
		return false
	case errors.Is(err, os.ErrDeadlineExceeded): // the connection is open
		return u.conn.progress.HasUnreadResponse()
	}
	return true
}

// awaitResponse waits until a final response has begun or the connection has ended. The time limit is for a connection whose reading goes
// on.
func (u *upload) awaitResponse() {
	timer := time.NewTimer(stallTimeout(u.request.TimeLeft))
	defer timer.Stop()
	select {
	case <-u.hasBegun:
	case <-timer.C:
	}
}

// readResponse reads the response while the body is written, and ends the writing once a final response begins or the connection ends.
// It ends at the latest when the connection is closed.
func (u *upload) readResponse() {
	received := receivedResponse{}
	head, err := u.conn.readFinalHead(u.request.TimeLeft)
	u.interrupt(err == nil)
	close(u.hasBegun)
	if err == nil {
		head.headAloneAt = time.Now().Add(bufferingTime) // no further attempt can be made
		received.response, received.reusable, err = u.conn.readContent(head, u.request.Method == http.MethodHead)
	}
	received.err = stallError(err)
	u.response <- received
}

// interrupt ends the writing, unless it has ended. hasResponse reports whether a final response has begun.
func (u *upload) interrupt(hasResponse bool) {
	if !u.state.CompareAndSwap(uploading, interrupted) {
		return
	}
	defer u.conn.SetWriteDeadline(time.Unix(1, 0))
	if !hasResponse {
		u.request.Stream.Stop()
		return
	}
	u.request.Stream.Abandon()
	if !u.request.Stream.IsComplete() { // otherwise the writing has ended, or is about to
		u.conn.client.recordEarlyResponse()
	}
}

// copyBody writes the rest of the body as it arrives.
func (u *upload) copyBody() error {
	stream := u.request.Stream
	pooled := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(pooled)
	for !stream.IsComplete() {
		n, readErr := stream.Read(*pooled)
		if n > 0 {
			if err := u.writeChunk((*pooled)[:n]); err != nil {
				return err
			}
		}
		switch {
		case u.state.Load() == interrupted && !stream.IsComplete():
			return errEarlyResponse
		case readErr != nil:
			return fmt.Errorf("%w: %w", errRequestBody, readErr)
		}
	}
	return nil
}

// writeChunk writes a part of the body, in chunked coding if its length is unknown.
func (u *upload) writeChunk(p []byte) error {
	if !u.chunked || len(p) == 0 {
		return u.writeParts(p)
	}
	size := append(strconv.AppendInt(nil, int64(len(p)), 16), "\r\n"...)
	return u.writeParts(size, p, []byte("\r\n"))
}

// writeLastChunk writes the end of a body in chunked coding.
func (u *upload) writeLastChunk() error {
	if !u.chunked {
		return nil
	}
	return u.writeParts([]byte(lastChunk))
}

// writeParts writes to the endpoint, unless the upload is interrupted, until the endpoint accepts nothing for streamWriteTimeout or the
// request's time ends. The client may go on writing during a write, so that the end of its time is asked for again.
func (u *upload) writeParts(parts ...[]byte) error {
	message := net.Buffers(parts)
	acceptedAt := time.Now()
	for {
		limit := u.writeLimit(acceptedAt)
		u.conn.SetWriteDeadline(limit)
		if u.state.Load() == interrupted { // read after the deadline was set: a later interruption sets its own deadline
			return errEarlyResponse
		}
		n, err := message.WriteTo(u.conn.Conn)
		if n > 0 {
			acceptedAt = time.Now()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || u.state.Load() == interrupted || !time.Now().Before(u.writeLimit(acceptedAt)) {
			return err
		}
	}
}

// writeLimit returns until when a write may go on, if the endpoint last accepted bytes at a time.
func (u *upload) writeLimit(acceptedAt time.Time) time.Time {
	limit := acceptedAt.Add(streamWriteTimeout)
	if due := u.request.Stream.EarliestEnd().Add(u.request.TimeLeft); due.Before(limit) {
		return due
	}
	return limit
}
