package endtoend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

const (
	longResponse    = 200 << 10
	lumpBytes       = 24 << 10
	lumpPause       = 900 * time.Millisecond // longer than an endpoint may be silent within a small response
	lateBody        = 1200 * time.Millisecond
	lateAnswerBound = 500 * time.Millisecond // after its time an answer is lost (STANDING, "The whole fleet")
)

// rawServer serves each connection by a function, until it returns.
func rawServer(t *testing.T, serve func(c net.Conn, reader *bufio.Reader) error) string {
	t.Helper()
	t.Helper()
	l := lbtest.Listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				defer c.Close()
				for reader := bufio.NewReader(c); serve(c, reader) == nil; {
				}
			}()
		}
	}()
	return l.Addr().String()
}

// framing is how a message frames a long response.
type framing string

const (
	byLength framing = "length"
	byChunks framing = "chunked"
	byClose  framing = "close"
)

// write writes a response's head, waits, and writes the body in lumps.
func (f framing) write(c net.Conn, body []byte, wait, pause time.Duration) error {
	head := map[framing]string{byLength: fmt.Sprintf("Content-Length: %d", len(body)), byChunks: "Transfer-Encoding: chunked", byClose: "Connection: close"}[f]
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", head); err != nil {
		return err
	}
	time.Sleep(wait)
	for start := 0; start < len(body); start += lumpBytes {
		if start > 0 {
			time.Sleep(pause)
		}
		lump := body[start:min(start+lumpBytes, len(body))]
		if f == byChunks {
			lump = fmt.Appendf(nil, "%x\r\n%s\r\n", len(lump), lump)
		}
		if _, err := c.Write(lump); err != nil {
			return err
		}
	}
	switch f {
	case byChunks:
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	case byClose:
		return io.EOF
	}
	return nil
}

// A server that writes its long response slowly, in lumps or long after its head, is cut off, and its client has a failure.
func TestSlowResponseIsNotCutOff(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), longResponse/16)
	cases := map[string]struct {
		size        int
		wait, pause time.Duration
	}{
		"lumps":          {4 * lumpBytes, 0, lumpPause},
		"late body":      {longResponse, lateBody, 0},
		"past the time":  {longResponse, 0, 300 * time.Millisecond},
		"small, in time": {2 * lumpBytes, 0, lumpPause},
	}
	for _, role := range Roles {
		for name, c := range cases {
			if role == Gateway && c.size > 64<<10 { // the gateway buffers responses of up to 64 KiB (docs/OPERATING.md)
				continue
			}
			for _, f := range []framing{byLength, byChunks, byClose} {
				t.Run(fmt.Sprintf("%s/%s/%s", role, name, f), func(t *testing.T) {
					t.Parallel()
					testSlowResponse(t, role, body[:c.size], func(conn net.Conn, sent []byte) error { return f.write(conn, sent, c.wait, c.pause) })
				})
			}
		}
	}
}

func testSlowResponse(t *testing.T, role Role, body []byte, write func(c net.Conn, body []byte) error) {
	t.Helper()
	server := rawServer(t, func(c net.Conn, reader *bufio.Reader) error {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return err
		}
		return write(c, body)
	})
	limits := LeastLimits()
	limits.Deadline = 2500 * time.Millisecond
	p := Start(t, role, limits, server)
	c := lbtest.Dial(t, p.Addr)
	c.Send(lbtest.Head("POST", ClassWrite, "r1", "Idempotency-Key: k1", "Content-Length: 0"))
	status, got := c.Response()
	if status != http.StatusOK || got != string(body) {
		t.Errorf("status %d with %d bytes, want 200 with %d", status, len(got), len(body))
	}
}

// A server that reads a large request slowly, or stops, has its client wait for the final answer beyond its time.
func TestSlowlyReadUploadIsAnsweredInTime(t *testing.T) {
	for _, role := range Roles {
		for _, size := range []int{60 << 10, 250 << 10, 6 << 20} {
			if role == Gateway && size > 64<<10 { // the gateway takes bodies of up to 64 KiB (docs/OPERATING.md)
				continue
			}
			for _, framed := range []framing{byLength, byChunks} {
				for _, rate := range []int{0, 16 << 10} { // bytes a tenth of a second that the server reads
					t.Run(fmt.Sprintf("%s/%d KiB/%s/%d", role, size>>10, framed, rate), func(t *testing.T) {
						t.Parallel()
						testSlowUpload(t, role, framed, size, rate)
					})
				}
			}
		}
	}
}

// uploadOf returns a keyed request with a body.
func uploadOf(f framing, id, body string) string {
	if f == byLength {
		return lbtest.Head("POST", ClassWrite, id, "Idempotency-Key: k-"+id, fmt.Sprintf("Content-Length: %d", len(body))) + body
	}
	return lbtest.Head("POST", ClassWrite, id, "Idempotency-Key: k-"+id, "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

func testSlowUpload(t *testing.T, role Role, f framing, size, rate int) {
	t.Helper()
	server := rawServer(t, func(c net.Conn, reader *bufio.Reader) error {
		first := min(size/3, 200<<10) // of the larger ones over the part that a sidecar buffers
		if _, err := io.CopyN(io.Discard, reader, int64(first)); err != nil {
			return err
		}
		for read := first; read < size; read += rate {
			if rate == 0 {
				time.Sleep(lbtest.Wait)
				return errors.New("stopped")
			}
			time.Sleep(100 * time.Millisecond)
			if _, err := io.CopyN(io.Discard, reader, int64(rate)); err != nil {
				return err
			}
		}
		return errors.New("end")
	})
	limits := LeastLimits()
	p := Start(t, role, limits, server, server)
	c := lbtest.Dial(t, p.Addr)
	text := uploadOf(f, "r1", strings.Repeat("u", size))
	written := make(chan time.Time, 1)
	go func() {
		c.Send(text)
		written <- time.Now()
	}()
	status, _ := c.Response()
	answered := time.Now()
	select {
	case at := <-written:
		if late := answered.Sub(at) - limits.Deadline; late > lateAnswerBound {
			t.Errorf("status %d, %v after its time", status, late)
		}
	default: // the answer came before the last byte was written: the request was never taken
		t.Logf("status %d before the request was written", status)
	}
	if status == 0 {
		t.Error("no answer")
	}
}
