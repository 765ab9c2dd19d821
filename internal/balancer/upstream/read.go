package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"silvertrail/internal/base/chunked"
	"silvertrail/internal/base/httphead"
)

const (
	maxHeadBytes     = 16 << 10 // of a response's head; request buffers above this size are not pooled
	maxBufferedBytes = 64 << 10 // of a response's body that is buffered; the protocol's limit
	maxInformational = 8        // 1xx responses before the final one
	// maxStall is the longest stall timeout: how long a response that has begun may deliver no bytes. A head that stalls is malformed: it
	// has no end, or is garbage without a line end. Ending the attempt early leaves time for the next one. A body that stalls may still be
	// written by its endpoint, so that the attempt goes on, and the policy may hedge it (AttemptProgress.ResponseProgress).
	maxStall = 750 * time.Millisecond
	// A request with little time left gets a shorter stall timeout, so that time remains for its next attempt.
	stallDivider = 4 // divides the time left when the request is written
	minStall     = 100 * time.Millisecond
)

// responseHead is the head of a response.
type responseHead struct {
	httphead.Head
	status      int
	isHTTP11    bool
	deadline    time.Time // see ResponseStream
	headAloneAt time.Time
}

// isFinal reports whether no other response follows.
func (h *responseHead) isFinal() bool {
	return h.status >= 200 || h.status == http.StatusSwitchingProtocols
}

// readResponse reads the final response, and reports whether the connection can be reused. An error wraps errMalformed or comes from
// the connection. bodiless means that no body follows the head, whatever length the head gives, as in a response to HEAD. timeLeft is
// the time that the request had left, until its deadline, when it was written.
func (c *conn) readResponse(bodiless bool, deadline time.Time, timeLeft time.Duration) (response *Response, reusable bool, err error) {
	head, err := c.readFinalHead(timeLeft)
	if err == nil {
		head.deadline, head.headAloneAt = deadline, headAloneTime(time.Now(), deadline, timeLeft)
		response, reusable, err = c.readContent(head, bodiless)
	}
	return response, reusable, stallError(err)
}

// readFinalHead reads the head of the final response. It skips the informational (1xx) responses before it.
func (c *conn) readFinalHead(timeLeft time.Duration) (*responseHead, error) {
	timeout := stallTimeout(timeLeft)
	for range maxInformational {
		if err := c.awaitFirstByte(); err != nil {
			return nil, err
		}
		c.progress.recordResponse(timeout)
		if !c.hasCompleteResponse() {
			c.readLimit = time.Time{}
			c.readTimeout = timeout
		}
		head, err := c.readHead()
		if err != nil {
			return nil, cutOffError(err)
		}
		if head.isFinal() {
			return head, nil
		}
		c.progress.recordInformational()
		if c.client.OnInformational != nil {
			c.client.OnInformational()
		}
	}
	return nil, fmt.Errorf("%w: too many informational (1xx) responses", errMalformed)
}

// cutOffError marks an error of the connection within a response. Other errors are returned unchanged.
func cutOffError(err error) error {
	if errors.Is(err, errMalformed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return fmt.Errorf("%w: %w", errCutOff, err)
}

// stallError marks an expired deadline as that of a malformed response. Other errors are returned unchanged.
func stallError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: stalled before it was complete", errMalformed)
	}
	return err
}

// awaitFirstByte waits for a response. It sets no deadline, because the end of the attempt closes the connection.
func (c *conn) awaitFirstByte() error {
	c.readTimeout = 0
	c.readLimit = time.Time{}
	c.setReadDeadline(time.Time{})
	_, err := c.reader.Peek(1)
	return err
}

// stallTimeout returns how long a response that has begun may deliver no bytes.
func stallTimeout(timeLeft time.Duration) time.Duration {
	return min(max(timeLeft/stallDivider, minStall), maxStall)
}

// hasCompleteResponse reports whether the buffer holds a complete response with a Content-Length, as it usually does for small
// responses. Reading such a response does not wait, so it needs no deadline. The result is false in doubt.
func (c *conn) hasCompleteResponse() bool {
	const field = "\r\n" + contentLengthHeader + ": "
	text, _ := c.reader.Peek(c.reader.Buffered())
	end := httphead.End(text)
	if end < 0 {
		return false
	}
	start := bytes.Index(text[:end], []byte(field))
	if start < 0 {
		return false
	}
	length := 0
	for _, digit := range text[start+len(field) : end] {
		if digit < '0' || digit > '9' || length > maxBufferedBytes {
			break
		}
		length = length*10 + int(digit-'0')
	}
	return length <= len(text)-end
}

// readHead reads and parses the head of a response, informational or final.
func (c *conn) readHead() (*responseHead, error) {
	text, err := c.readHeadText()
	if err != nil {
		return nil, err
	}
	parsed, err := httphead.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	head := &responseHead{Head: parsed}
	head.status, head.isHTTP11, err = parseStatusLine(parsed.StartLine)
	return head, err
}

// readContent reads what follows the head of a final response.
func (c *conn) readContent(head *responseHead, bodiless bool) (response *Response, reusable bool, err error) {
	response = &Response{Status: head.status, Header: head.Header}
	reusable = head.isHTTP11 && !head.IsClose() && head.status != http.StatusSwitchingProtocols
	if !bodiless && hasBody(head.status) {
		isDelimited, err := c.readBody(response, head, reusable)
		if err != nil {
			return response, reusable, cutOffError(err)
		}
		reusable = reusable && isDelimited
	}
	if response.Stream == nil && head.status >= 200 && c.reader.Buffered() > 0 {
		reusable = false // bytes beyond the response have arrived: the start of the next response would be unknown
	}
	return response, reusable, nil
}

// parseStatusLine parses the first line of a response.
func parseStatusLine(line string) (status int, isHTTP11 bool, err error) {
	protocol, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	validProtocol := protocol == "HTTP/1.1" || protocol == "HTTP/1.0"
	if err != nil || len(code) != 3 || status < 100 || !validProtocol {
		return 0, false, fmt.Errorf("%w: invalid status line %.40q", errMalformed, line)
	}
	return status, protocol == "HTTP/1.1", nil
}

// hasBody reports whether a response with this status has a body (RFC 9110, section 6.4.1).
func hasBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// readBody reads the body of a response, or the first part of a body that is streamed. A body that is not delimited by a length or
// by chunks ends with the connection.
func (c *conn) readBody(response *Response, head *responseHead, reusable bool) (isDelimited bool, err error) {
	if head.ContentLength > c.maxBody {
		return true, fmt.Errorf("%w: body of %d bytes exceeds the limit", errMalformed, head.ContentLength)
	}
	isDelimited = head.Chunked || head.ContentLength >= 0
	stream := &ResponseStream{
		conn:        c,
		length:      head.ContentLength,
		remaining:   head.ContentLength,
		maxBytes:    c.maxBody,
		bufferBytes: c.bufferBytes(),
		deadline:    head.deadline,
		headAloneAt: head.headAloneAt,
		reusable:    reusable && isDelimited,
	}
	if head.Chunked {
		stream.decoder = &chunked.Decoder{}
	}
	response.Body, err = stream.readBuffered()
	if err == nil && !stream.complete {
		response.Stream = stream
	}
	return isDelimited, err
}

// bufferBytes returns how many bytes of a response's body are buffered at most.
func (c *conn) bufferBytes() int {
	if c.maxBody <= maxBufferedBytes || c.client.BufferBytes == 0 {
		return maxBufferedBytes
	}
	return int(min(c.client.BufferBytes, maxBufferedBytes))
}

// readHeadText reads the head of a response, including the empty line that ends it.
func (c *conn) readHeadText() ([]byte, error) {
	var text []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		text = append(text, line...)
		switch {
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(text) > maxHeadBytes:
			return nil, fmt.Errorf("%w: head exceeds %d bytes", errMalformed, maxHeadBytes)
		case err == nil && len(bytes.TrimRight(line, "\r\n")) == 0:
			return text, nil
		}
	}
}
