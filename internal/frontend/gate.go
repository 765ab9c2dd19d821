package frontend

import (
	"io"
	"net"
	"sync/atomic"

	"silvertrail/internal/httphead"
)

// gate stands between a caller's connection and package net/http and sees every head as it was written. Package http
// repairs some heads before a handler sees them (beside a transfer coding it drops the length), and what it drops can
// decide where a request ends.
//
// It guards against requests hidden in the bodies of others, whatever the trick: a head that could be read in two
// ways, and bytes behind a body that begin no request (so that the body's length was wrong), make the request
// refused and the connection closed, with nothing behind it read. It would also catch splitting by line feeds and
// folded lines. It can harm a caller that writes stray line ends between requests.
type gate struct {
	net.Conn
	buf     []byte // read and not yet handed on; a head is handed on only when it is whole
	ready   int    // of buf, what may be handed on
	body    int64  // of the request in hand, body still to come
	last    bool   // nothing behind this request is looked at: its connection will be closed
	ended   bool   // nothing more is handed on
	heads   int64
	refused atomic.Int64 // number of the first head that must be refused, from 1
	large   atomic.Bool  // for its size alone
}

const gateBuffer = 1 << 10

// Read hands on heads that are whole, and bodies as they come.
func (g *gate) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		if g.ready == 0 {
			g.scan()
		}
		if g.ready > 0 {
			n := copy(p, g.buf[:g.ready])
			g.ready -= n
			g.buf = append(g.buf[:0], g.buf[n:]...)
			if len(g.buf) == 0 && cap(g.buf) > gateBuffer {
				g.buf = nil
			}
			return n, nil
		}
		if g.ended {
			return 0, io.EOF
		}
		if g.last || g.body > 0 {
			if !g.last {
				p = p[:min(int64(len(p)), g.body)]
			}
			n, err := g.Conn.Read(p)
			g.body -= int64(n)
			return n, err
		}
		if cap(g.buf)-len(g.buf) == 0 {
			g.buf = append(make([]byte, 0, max(2*cap(g.buf), gateBuffer)), g.buf...)
		}
		n, err := g.Conn.Read(g.buf[len(g.buf):cap(g.buf)])
		g.buf = g.buf[:len(g.buf)+n]
		if err != nil {
			return 0, err
		}
	}
}

// scan looks at what has been read and decides how much of it may be handed on.
func (g *gate) scan() {
	if len(g.buf) == 0 || g.ended {
		return
	}
	if g.last {
		g.ready = len(g.buf)
		return
	}
	if g.body > 0 {
		n := min(g.body, int64(len(g.buf)))
		g.ready = int(n)
		if g.body -= n; g.body == 0 {
			g.behind(g.buf[n:])
		}
		return
	}
	end := httphead.End(g.buf)
	if end < 0 {
		if len(g.buf) > maxHead { // package http says so to the caller
			g.heads++
			g.ready = len(g.buf)
			g.refuse()
		}
		return
	}
	g.heads++
	g.ready = end
	if end > maxHead { // package http allows for some more
		g.large.Store(true)
		g.refuse()
		return
	}
	head, err := httphead.Parse(g.buf[:end])
	switch {
	case err != nil:
		g.refuse()
	case head.Chunked:
		g.last = true
	case head.Length > 0:
		g.body = head.Length
	default:
		g.behind(g.buf[end:])
	}
}

// behind looks at what stands behind a request.
func (g *gate) behind(text []byte) {
	if len(text) > 0 && (text[0] < 'A' || text[0] > 'Z') {
		g.refuse()
	}
}

// refuse has the request in hand refused. What stands behind it is never looked at.
func (g *gate) refuse() {
	g.refused.CompareAndSwap(0, g.heads)
	g.buf, g.ended = g.buf[:g.ready], true
}
