package frontend_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// pattern is a reader whose bytes depend on their offset, so that checkPattern detects lost, duplicated and moved bytes.
type pattern struct{ offset, size int }

func (p *pattern) Read(b []byte) (int, error) {
	if p.offset == p.size {
		return 0, io.EOF
	}
	n := min(len(b), p.size-p.offset)
	for i := range n {
		b[i] = byte((p.offset + i) * 2654435761 >> 13)
	}
	p.offset += n
	return n, nil
}

// checkPattern returns an error unless a body is the pattern of the given size.
func checkPattern(r io.Reader, size int) error {
	var got, want [32 << 10]byte
	p := &pattern{size: size}
	total := 0
	for {
		n, err := r.Read(got[:])
		io.ReadFull(p, want[:n])
		if total += n; !bytes.Equal(got[:n], want[:n]) || total > size {
			return fmt.Errorf("body differs from the pattern before byte %d", total)
		}
		if err == io.EOF && total == size {
			return nil
		}
		if err != nil {
			return fmt.Errorf("body truncated: got %d of %d bytes: %w", total, size, err)
		}
	}
}

// startPatternEndpoint starts an endpoint and returns its address. The endpoint checks request bodies and counts the complete ones in arrived.
// It responds with X-Want bytes, in chunked coding if X-Chunks is set.
func startPatternEndpoint(t *testing.T, arrived *atomic.Int64) string {
	t.Helper()
	l := lbtest.Listen(t)
	s := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var size, want int
		fmt.Sscan(r.Header.Get("X-Size"), &size)
		fmt.Sscan(r.Header.Get("X-Want"), &want)
		if err := checkPattern(r.Body, size); err != nil {
			if size >= 0 && r.Header.Get("X-Breaks") == "" {
				t.Errorf("request body at the endpoint: %v", err)
			}
			panic(http.ErrAbortHandler)
		}
		arrived.Add(1)
		if r.Header.Get("X-Chunks") == "" {
			w.Header().Set("Content-Length", fmt.Sprint(want))
		}
		io.Copy(w, &pattern{size: want})
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// sendPattern sends a keyed request with a pattern of the given size as its body, in chunked coding if chunks is true.
func sendPattern(c net.Conn, id string, size int, chunks bool, lines ...string) {
	lines = append(lines, "Idempotency-Key: k-"+id, fmt.Sprint("X-Size: ", size))
	if !chunks {
		io.WriteString(c, lbtest.Head("POST", "write", id, append(lines, fmt.Sprint("Content-Length: ", size))...))
		io.Copy(c, &pattern{size: size})
		return
	}
	io.WriteString(c, lbtest.Head("POST", "write", id, append(lines, "Transfer-Encoding: chunked")...))
	p := &pattern{size: size}
	for piece := 1; ; piece = piece*5%40_000 + 1 {
		b := make([]byte, piece)
		n, err := p.Read(b)
		if err != nil {
			break
		}
		fmt.Fprintf(c, "%x;a=b\r\n%s\r\n", n, b[:n])
	}
	io.WriteString(c, "0\r\nX-Trailer: t\r\n\r\n")
}

// Bodies of requests and responses must be forwarded completely, regardless of size and framing, with many requests in flight and with
// clients that read slowly. The next request on each connection must be served, too.
func TestLargeBodiesAreForwardedUnchanged(t *testing.T) {
	var arrived atomic.Int64
	_, addr := startServer(t, startPatternEndpoint(t, &arrived), 64)
	var all sync.WaitGroup
	sizes := []int{64<<10 - 1, 64 << 10, 64<<10 + 1, 100_000, 1 << 20, 5 << 20, 32 << 20}
	sent := int64(0)
	for i, size := range sizes {
		for _, chunks := range []bool{false, true} {
			sent += 2
			all.Go(func() {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(3 * lbtest.Wait))
				lines := []string{fmt.Sprint("X-Want: ", sizes[len(sizes)-1-i])}
				if i%2 == 0 {
					lines = append(lines, "X-Chunks: 1")
				}
				br := bufio.NewReader(c)
				for n := range 2 { // on the same connection
					go sendPattern(c, fmt.Sprintf("%d-%t-%d", size, chunks, n), size, chunks, lines...)
					r, err := http.ReadResponse(br, nil)
					if err != nil || r.StatusCode != http.StatusOK || r.Close {
						t.Errorf("body of %d bytes, chunked %t: response %v, error %v", size, chunks, r, err)
						return
					}
					var body io.Reader = r.Body
					if i == 2 {
						body = slowReader{r.Body}
					}
					if err := checkPattern(body, sizes[len(sizes)-1-i]); err != nil {
						t.Errorf("response to a body of %d bytes, chunked %t: %v", size, chunks, err)
						return
					}
				}
			})
		}
	}
	all.Wait()
	if arrived.Load() != sent {
		t.Errorf("%d complete requests at the endpoint, want %d", arrived.Load(), sent)
	}
}

// slowReader reads at most 8 KiB per millisecond.
type slowReader struct{ io.Reader }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return s.Reader.Read(p[:min(len(p), 8<<10)])
}

// startRawEndpoint starts an endpoint and returns its address. serve writes the raw response to the first request on each connection, whose
// head has been read.
func startRawEndpoint(t *testing.T, serve func(c net.Conn, r *http.Request)) string {
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
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// The client must be able to detect a response that the endpoint truncates: by a close before the declared length or the last chunk, or by a
// reset. The request must not be retried.
func TestTruncatedResponseIsDetectable(t *testing.T) {
	var arrived atomic.Int64
	half := strings.Repeat("x", 100<<10)
	for name, c := range map[string]struct{ head, proto string }{
		"with a length":               {"Content-Length: 200000\r\n", "HTTP/1.1"},
		"in chunks":                   {"Transfer-Encoding: chunked\r\n", "HTTP/1.1"},
		"in chunks, to HTTP/1.0":      {"Transfer-Encoding: chunked\r\n", "HTTP/1.0"},
		"malformed chunk in the body": {"Transfer-Encoding: chunked\r\nX-Noise: 1\r\n", "HTTP/1.1"},
	} {
		t.Run(name, func(t *testing.T) {
			arrived.Store(0)
			e := startRawEndpoint(t, func(conn net.Conn, r *http.Request) {
				arrived.Add(1)
				text := half
				if strings.Contains(c.head, "chunked") {
					text = fmt.Sprintf("%x\r\n%s\r\n", len(half), half)
				}
				io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.head+"\r\n"+text)
				if strings.Contains(c.head, "Noise") {
					io.WriteString(conn, "zzz\r\n")
					return
				}
				conn.Close()
			})
			_, addr := startServer(t, e, 8)
			conn := lbtest.Dial(t, addr)
			conn.Send(strings.Replace(lbtest.Get("one"), "HTTP/1.1", c.proto, 1))
			r, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // truncated before the head was read: detected
			}
			n, err := io.Copy(io.Discard, r.Body)
			if err == nil {
				t.Errorf("the truncated response of %d bytes was read without an error", n)
			}
			if arrived.Load() != 1 {
				t.Errorf("%d attempts, want 1", arrived.Load())
			}
		})
	}
}

// A response that the endpoint sends before the request's body is complete must be forwarded while the client is still sending.
func TestResponseBeforeEndOfBodyIsForwarded(t *testing.T) {
	e := startRawEndpoint(t, func(c net.Conn, r *http.Request) { io.WriteString(c, lbtest.OK("early")) })
	_, addr := startServer(t, e, 8)
	c := lbtest.Dial(t, addr)
	c.Send(lbtest.Head("POST", "write", "a", "Idempotency-Key: k", "Content-Length: 1000000") + strings.Repeat("x", 200<<10))
	if status, body := c.Response(); status != 200 || body != "early" {
		t.Errorf("status %d, body %q", status, body)
	}
}

// A truncated request body must not reach an endpoint as a complete one. A body too large to be buffered goes to at most one endpoint. If
// no byte of it was sent yet, the request is retried at another endpoint.
func TestLargeBodyIsSentOnceAtMost(t *testing.T) {
	var arrived atomic.Int64
	good := startPatternEndpoint(t, &arrived)
	t.Run("truncated by its client", func(t *testing.T) {
		_, addr := startServer(t, good, 8)
		for _, framing := range []string{"Content-Length: 1000000", "Transfer-Encoding: chunked"} {
			c := lbtest.Dial(t, addr)
			c.Send(lbtest.Head("POST", "write", "b"+framing[:1], "Idempotency-Key: k", "X-Breaks: 1", "X-Size: 1000000", framing))
			if framing[0] == 'T' {
				c.Send("30d40\r\n")
			}
			io.Copy(c, &pattern{size: 200_000})
			c.Conn.(*net.TCPConn).CloseWrite()
			if status, _ := c.Response(); status == 200 || status == 429 || status == 503 {
				t.Errorf("%s: status %d, want an error other than 429 and 503", framing, status)
			}
		}
		if arrived.Load() != 0 {
			t.Error("a truncated body reached the endpoint as a complete one")
		}
	})
	t.Run("one of two endpoints refuses connections", func(t *testing.T) {
		l := lbtest.Listen(t)
		refusing := l.Addr().String()
		l.Close()
		_, addr := startServer(t, refusing+" "+good, 8)
		for i := range 4 {
			c := lbtest.Dial(t, addr)
			go sendPattern(c, fmt.Sprint("retried-", i), 300_000, false, "X-Want: 2")
			if status, _ := c.Response(); status != 200 {
				t.Errorf("status %d, want 200", status)
			}
		}
	})
	t.Run("the endpoint resets within the body", func(t *testing.T) {
		arrived.Store(0)
		var attempts atomic.Int64
		resetting := startRawEndpoint(t, func(c net.Conn, r *http.Request) {
			io.CopyN(io.Discard, r.Body, 150_000)
			attempts.Add(1)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		})
		_, addr := startServer(t, resetting+" "+resetting, 8)
		c := lbtest.Dial(t, addr)
		go sendPattern(c, "once", 30<<20, false, "X-Want: 2")
		// An incomplete request was not executed, so that the client may retry it.
		if status, _ := c.Response(); status != 503 && status != 0 {
			t.Errorf("status %d, want 503 or no response", status)
		}
		if attempts.Load() != 1 {
			t.Errorf("%d attempts, want 1", attempts.Load())
		}
	})
}

// A response in small parts must be forwarded completely, even if it takes longer in all than an endpoint may be silent.
func TestSlowResponseIsForwarded(t *testing.T) {
	const pieces = 12
	e := startRawEndpoint(t, func(c net.Conn, r *http.Request) {
		text := lbtest.OK(strings.Repeat("y", pieces*4))
		for i := range pieces {
			io.WriteString(c, text[i*len(text)/pieces:(i+1)*len(text)/pieces])
			time.Sleep(90 * time.Millisecond)
		}
	})
	_, addr := startServer(t, e, 8)
	c := lbtest.Dial(t, addr)
	c.Send(lbtest.Get("one"))
	if status, body := c.Response(); status != 200 || body != strings.Repeat("y", pieces*4) {
		t.Errorf("status %d, body %q", status, body)
	}
}

// A disconnect after a large body was forwarded completely must be detected. The connection to the endpoint is closed, so that the endpoint
// can stop its work.
func TestDisconnectAfterLargeBodyCancelsAttempt(t *testing.T) {
	got, ended := make(chan struct{}), make(chan struct{})
	e := startRawEndpoint(t, func(c net.Conn, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		close(got)
		io.Copy(io.Discard, c) // until the sidecar closes the connection
		close(ended)
	})
	_, addr := startServer(t, e, 8)
	c := lbtest.Dial(t, addr)
	sendPattern(c, "left", 200_000, false)
	<-got
	c.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second): // the class's deadline is 10 s
		t.Error("the connection to the endpoint is still open 5 s after the client's disconnect")
	}
}

// unfinishedResponses returns handlers that begin a response and do not finish it, by name. Each stops once its connection ends.
func unfinishedResponses() map[string]func(*lbtest.Arrival) {
	const interval = 60 * time.Millisecond
	send := func(head, piece string, count int) func(*lbtest.Arrival) {
		return func(a *lbtest.Arrival) {
			defer a.Close()
			io.WriteString(a, head+"\r\n\r\n")
			for range count {
				if _, err := io.WriteString(a, piece); err != nil {
					return
				}
				time.Sleep(interval)
			}
			io.Copy(io.Discard, a)
		}
	}
	const endless = 1000 // pieces, which outlast the test
	const closing, chunks = "HTTP/1.1 200 OK\r\nConnection: close", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
	return map[string]func(*lbtest.Arrival){
		"no length, stalls":        send(closing, "x", 6),
		"no length, never ends":    send(closing, "x", endless),
		"chunked, stalls":          send(chunks, "1\r\nx\r\n", 6),
		"chunked, never ends":      send(chunks, "1\r\nx\r\n", endless),
		"chunked, a chunk stalls":  send(chunks+"\r\n\r\n1000", "\r\n"+strings.Repeat("x", 10), 1),
		"short length, never ends": send("HTTP/1.1 200 OK\r\nContent-Length: 4000", "x", endless),
	}
}

// A request is left without its final answer when its endpoint begins a response and does not finish it.
func TestUnfinishedResponseEndsInTime(t *testing.T) {
	t.Parallel()
	const timeout = time.Second
	for name, serve := range unfinishedResponses() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := lbtest.NewEndpoint(t, serve)
			_, addr := startServer(t, e.Addr, 64)
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, lbtest.Get("unfinished", fmt.Sprint("X-Timeout-Ms: ", timeout.Milliseconds())))
			checkUnfinishedResponse(t, c, timeout)
		})
	}
}

// checkUnfinishedResponse checks that the response to a request ends soon after its timeout, and that the client can tell that it is not
// whole. The timeout begins now.
func checkUnfinishedResponse(t *testing.T, client net.Conn, timeout time.Duration) {
	t.Helper()
	client.SetReadDeadline(time.Now().Add(timeout + lateResponseBound))
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatalf("no response in time: %v", err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.Error("the response has no end in time")
	case err == nil && response.StatusCode == http.StatusOK:
		t.Error("the client takes an unfinished response for a whole one")
	}
}

// A response of over 64 KiB that its endpoint still sends is not cut off at the deadline, which bounds its first bytes alone.
func TestLargeResponseOutlastsDeadline(t *testing.T) {
	t.Parallel()
	const timeout, size, pieces, interval = time.Second, 240 << 10, 40, 60 * time.Millisecond
	for name, head := range map[string]string{
		"length":    fmt.Sprint("Content-Length: ", size),
		"no length": "Connection: close",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
				io.WriteString(a, "HTTP/1.1 200 OK\r\n"+head+"\r\n\r\n")
				body := &pattern{size: size}
				for range pieces {
					io.CopyN(a, body, size/pieces)
					time.Sleep(interval)
				}
				a.Close()
			})
			_, addr := startServer(t, e.Addr, 64)
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, lbtest.Get("large", fmt.Sprint("X-Timeout-Ms: ", timeout.Milliseconds())))
			c.SetReadDeadline(time.Now().Add(3 * lbtest.Wait))
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if err := checkPattern(r.Body, size); err != nil || r.StatusCode != http.StatusOK {
				t.Errorf("status %d: %v", r.StatusCode, err)
			}
		})
	}
}
