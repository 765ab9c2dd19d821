package rig

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// LateServer is a server that now and then sends a second copy of an answer, some milliseconds after the first one, where nothing else waits on
// the connection. A way of a given length lies between it and its callers.
type LateServer struct {
	Address string
	Copies  atomic.Int64 // that were sent

	c      *Case
	name   string
	work   time.Duration
	repeat func() (after time.Duration, ok bool)
}

// NewLateServer starts a server that works for a time on each request. The function repeat tells after how long a second copy of an answer is
// sent, if one is. The way is how long bytes take in each direction.
func (c *Case) NewLateServer(name string, work, way time.Duration, repeat func() (after time.Duration, ok bool)) (*LateServer, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	outer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &LateServer{Address: outer.Addr().String(), c: c, name: name, work: work, repeat: repeat}
	go acceptAll(inner, s.serve) // both end with the process
	go acceptAll(outer, func(near net.Conn) {
		far, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			near.Close()
			return
		}
		go carry(near, far, way)
		carry(far, near, way)
	})
	return s, nil
}

func acceptAll(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// carry passes on what it reads, each piece after the way's time, until the connection ends.
func carry(to, from net.Conn, way time.Duration) {
	type piece struct {
		due  time.Time
		text []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer to.Close()
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if _, err := to.Write(p.text); err != nil {
				from.Close()
			}
		}
	}()
	defer close(pieces)
	for {
		text := make([]byte, 16<<10)
		n, err := from.Read(text)
		if err != nil {
			return
		}
		pieces <- piece{time.Now().Add(way), text[:n]}
	}
}

// serve answers the requests of one connection.
func (s *LateServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var writing sync.Mutex
	var begun atomic.Int64 // requests of which a byte has come
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		number := begun.Add(1)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Request-ID")
		s.c.Recordf("server %s: request %s arrived", s.name, id)
		time.Sleep(s.work)
		body := "answer to " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		write := func() {
			writing.Lock()
			defer writing.Unlock()
			_, _ = io.WriteString(conn, answer) // the caller may have gone
		}
		write()
		after, ok := s.repeat()
		if !ok {
			continue
		}
		time.AfterFunc(after, func() {
			if begun.Load() == number { // nothing else waits on the connection
				s.Copies.Add(1)
				s.c.Recordf("server %s: second copy of the answer to %s", s.name, id)
				write()
			}
		})
	}
}

// Sometimes returns a function for NewLateServer: one answer of so many gets a second copy, after 1 to 3 ms.
func Sometimes(of int) func() (time.Duration, bool) {
	return func() (time.Duration, bool) {
		return time.Millisecond + rand.N(2*time.Millisecond), rand.IntN(of) == 0
	}
}

// Keep is a client's connection, which it keeps.
type Keep struct {
	c       *Case
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// NewKeep returns a client that connects to an address with its first request.
func (c *Case) NewKeep(address string) *Keep { return &Keep{c: c, address: address} }

// Send sends a request and waits for its answer for so long.
func (k *Keep) Send(id string, wait time.Duration, head string) (reply Reply) {
	reply.ID = id
	if k.conn == nil {
		if k.conn, reply.Err = net.DialTimeout("tcp", k.address, time.Second); reply.Err != nil {
			k.conn = nil
			return reply
		}
		k.reader = bufio.NewReader(k.conn)
	}
	_ = k.conn.SetDeadline(time.Now().Add(wait))
	if _, reply.Err = io.WriteString(k.conn, head); reply.Err == nil {
		reply.Sent = time.Now()
		reply.Status, reply.Body, reply.Err = readAnswer(k.reader)
		reply.At = time.Now()
	}
	k.c.Recordf("client: %v", reply)
	if reply.Err != nil {
		k.Close()
	}
	return reply
}

// Close closes the connection.
func (k *Keep) Close() {
	if k.conn != nil {
		k.conn.Close()
	}
	k.conn = nil
}
