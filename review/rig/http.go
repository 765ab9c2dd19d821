package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Arrival is a request that has arrived whole at a server.
type Arrival struct {
	ID      string
	Request *http.Request
	Body    []byte
	At      time.Time // of the head
}

// Server is a server of a tier: it answers as its handler says. The handler of a server that hangs waits for the request's context.
type Server struct {
	Name, Address string

	c        *Case
	handle   func(w http.ResponseWriter, a *Arrival)
	http     *http.Server
	mu       sync.Mutex
	arrivals []Arrival
}

// NewServer starts a server on a free port.
func (c *Case) NewServer(name string, handle func(w http.ResponseWriter, a *Arrival)) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Name: name, Address: l.Addr().String(), c: c, handle: handle}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(l) }() // ends with the process
	return s, nil
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	a := Arrival{ID: r.Header.Get("X-Request-ID"), Request: r, At: time.Now()}
	var err error
	if a.Body, err = io.ReadAll(r.Body); err != nil {
		s.c.Logf("server %s: request %s broke off: %v", s.Name, a.ID, err)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.c.Logf("server %s: request %s arrived: %s %s, %d bytes, key %q, X-Timeout-Ms %s", s.Name, a.ID, r.Method, r.URL, len(a.Body),
		r.Header.Get("Idempotency-Key"), r.Header.Get("X-Timeout-Ms"))
	s.handle(w, &a)
}

// Close ends the server with all its connections.
func (s *Server) Close() { _ = s.http.Close() }

// Arrivals returns the requests that have arrived.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival{}, s.arrivals...)
}

// Answer answers a request with 200 and a body made for it.
func Answer(w http.ResponseWriter, a *Arrival) { fmt.Fprintf(w, "answer to %s", a.ID) }

// Hang takes a request and answers nothing.
func Hang(_ http.ResponseWriter, a *Arrival) { <-a.Request.Context().Done() }

// Reply is what a client gets. With Status 0 the connection ended, or nothing came, before a whole answer.
type Reply struct {
	ID     string
	Status int
	Body   string
	Err    error
	Sent   time.Time // of the last byte; zero: it was not written
	At     time.Time
}

// Answered reports whether the client has a whole answer.
func (r Reply) Answered() bool { return r.Status != 0 }

// String implements fmt.Stringer.
func (r Reply) String() string {
	after := "before its end"
	if !r.Sent.IsZero() {
		after = "after " + r.At.Sub(r.Sent).Round(time.Millisecond).String()
	}
	if r.Answered() {
		return fmt.Sprintf("request %s: %d %q %s", r.ID, r.Status, r.Body, after)
	}
	return fmt.Sprintf("request %s: no answer %s: %v", r.ID, after, r.Err)
}

// Head returns the head of a request with an empty line at its end.
func Head(method, path, id string, fields ...string) string {
	lines := append([]string{method + " " + path + " HTTP/1.1", "Host: app.svc", "X-Request-ID: " + id}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// Send connects to an address, writes the parts with a pause before each but the first, and waits for the answer for so long.
func (c *Case) Send(address, id string, wait, pause time.Duration, parts ...string) Reply {
	reply := Reply{ID: id}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		reply.Err, reply.At = err, time.Now()
		c.Logf("%v", reply)
		return reply
	}
	defer conn.Close()
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err = io.WriteString(conn, part); err != nil {
			c.Logf("client: request %s: write: %v", id, err)
			break
		}
	}
	if err == nil {
		reply.Sent = time.Now()
		c.Logf("client: request %s sent whole to %s", id, address)
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	reply.Status, reply.Body, reply.Err = readAnswer(bufio.NewReader(conn))
	reply.At = time.Now()
	c.Logf("client: %v", reply)
	return reply
}

// readAnswer reads one whole final answer.
func readAnswer(from *bufio.Reader) (status int, body string, err error) {
	response, err := http.ReadResponse(from, nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(text), err
	}
	return response.StatusCode, string(text), nil
}

// IsReady reports whether a listener's readiness check passes.
func IsReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/health/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
