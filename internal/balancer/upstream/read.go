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
	maxHeadBytes     = 16 << 10 // of a response's head, and of its trailers
	maxBufferedBytes = 64 << 10 // of a response's body: the protocol's limit
	maxInformational = 8        // 1xx responses before the final one
	// maxStall is how long a response that has begun may deliver nothing. The endpoint has all of it by then, so one that
	// stalls is malformed: a head without end, a wrong length, noise without a line end. The time saved is the request's next
	// attempt. Where responses are streamed (Options.MaxStreamBytes) it is a time without any byte, else one for the whole
	// response: small responses of healthy endpoints arrive at once.
	maxStall = 750 * time.Millisecond
	// A request with little time has less for that: the rest is its next attempt's.
	stallDivider = 4 // of what is left when the request is written
	minStall     = 100 * time.Millisecond
)

// readResponse reads a response, and reports whether the connection can be reused. An error is errMalformed, or the connection's.
// Bodiless means that no body follows the head, whatever that says, as in a response to HEAD. Left is the time that the
// request had left when it was written.
func (c *conn) readResponse(bodiless bool, left time.Duration) (response *Response, reusable bool, err error) {
	timeout := stallTimeout(left)
	for range maxInformational {
		if err := c.awaitFirstByte(); err != nil {
			return nil, false, err
		}
		if !c.hasCompleteResponse() {
			c.setReadDeadline(time.Now().Add(timeout))
			if c.maxBody > maxBufferedBytes {
				c.readTimeout = timeout
			}
		}
		response, reusable, err = c.readOneResponse(bodiless)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = fmt.Errorf("%w: stalled", errMalformed)
		}
		if err != nil || response.Status >= 200 || response.Status == http.StatusSwitchingProtocols {
			return response, reusable, err
		}
	}
	return nil, false, fmt.Errorf("%w: too many interim answers", errMalformed)
}

// awaitFirstByte waits for a response without a deadline: the end of the attempt closes the connection.
func (c *conn) awaitFirstByte() error {
	if early := c.earlyResponse; early != nil { // it was waited for while the body was streamed
		err := <-early
		c.readTimeout = 0
		c.SetWriteDeadline(time.Time{})
		c.earlyResponse = nil
		return err
	}
	c.readTimeout = 0
	c.setReadDeadline(time.Time{})
	_, err := c.reader.Peek(1)
	return err
}

// stallTimeout returns how long a response that has begun may deliver nothing.
func stallTimeout(left time.Duration) time.Duration {
	return min(max(left/stallDivider, minStall), maxStall)
}

// hasCompleteResponse reports whether a whole response with a length is in the buffer, as small ones mostly are: then nothing is waited
// for. In doubt it is false.
func (c *conn) hasCompleteResponse() bool {
	const field = "\r\n" + contentLengthHeader + ": "
	text, _ := c.reader.Peek(c.reader.Buffered())
	end := httphead.End(text)
	if end < 0 {
		return false
	}
	at := bytes.Index(text[:end], []byte(field))
	if at < 0 {
		return false
	}
	length := 0
	for _, digit := range text[at+len(field) : end] {
		if digit < '0' || digit > '9' || length > maxBufferedBytes {
			break
		}
		length = length*10 + int(digit-'0')
	}
	return length <= len(text)-end
}

// readOneResponse reads one response of any status.
func (c *conn) readOneResponse(bodiless bool) (response *Response, reusable bool, err error) {
	text, err := c.readHead()
	if err != nil {
		return nil, false, err
	}
	head, err := httphead.Parse(text)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", errMalformed, err)
	}
	status, isHTTP11, err := parseStatusLine(head.StartLine)
	if err != nil {
		return nil, false, err
	}
	response = &Response{Status: status, Header: head.Header}
	reusable = isHTTP11 && !head.IsClose() && status != http.StatusSwitchingProtocols
	if !bodiless && hasBody(status) {
		isDelimited, err := c.readBody(response, &head, reusable)
		if err != nil {
			return response, reusable, err
		}
		reusable = reusable && isDelimited
	}
	if response.Stream == nil && status >= 200 && c.reader.Buffered() > 0 {
		reusable = false // more than the response: nobody can tell where the next one would begin
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
		return 0, false, fmt.Errorf("%w: status line %.40q", errMalformed, line)
	}
	return status, protocol == "HTTP/1.1", nil
}

// hasBody reports whether a response with this status has a body (RFC 9110, section 6.4.1).
func hasBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// readBody reads the body of a response, or the first part of one that is streamed. A body that is not delimited ends with the
// connection.
func (c *conn) readBody(response *Response, head *httphead.Head, reusable bool) (isDelimited bool, err error) {
	if head.ContentLength > c.maxBody {
		return true, fmt.Errorf("%w: %d bytes", errMalformed, head.ContentLength)
	}
	isDelimited = head.Chunked || head.ContentLength >= 0
	stream := &ResponseStream{
		conn:      c,
		length:    head.ContentLength,
		remaining: head.ContentLength,
		maxBytes:  c.maxBody,
		reusable:  reusable && isDelimited,
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

// readHead reads a head up to its empty line.
func (c *conn) readHead() ([]byte, error) {
	var text []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		text = append(text, line...)
		switch {
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(text) > maxHeadBytes:
			return nil, fmt.Errorf("%w: a head of over %d bytes", errMalformed, maxHeadBytes)
		case err == nil && len(bytes.TrimRight(line, "\r\n")) == 0:
			return text, nil
		}
	}
}
