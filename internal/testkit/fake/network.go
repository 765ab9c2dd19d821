package fake

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Path stands between two programs as a network would, for TCP connections: it delays, holds up, narrows, loses (which TCP
// shows as a hold-up of all that follows) and breaks what goes over it, in each direction by itself.
type Path struct {
	Addr string

	listener net.Listener
	to       string
	done     chan struct{}
	wait     sync.WaitGroup

	mu         sync.Mutex
	directions [2]directionState
	conns      map[*pair]bool
	drawn      *rand.Rand
	moved      chan struct{} // closed, and made anew, where something has changed
	bytes      [2]int64
}

// Direction is that of bytes on a path.
type Direction int

// The directions: from who connects to who is connected to, and back.
const (
	ToServer Direction = iota
	ToClient
)

// Trouble of one direction.
type directionState struct {
	delay     time.Duration
	bandwidth int // bytes a second; 0: any
	loss      float64
	blocked   bool  // what comes waits
	cutAfter  int64 // bytes that still pass before all connections are reset; -1: any number
}

const retransmitTimeout = 200 * time.Millisecond // TCP's least time before it sends again what was lost

// NewPath opens a path to an address.
func NewPath(to string) (*Path, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Path{Addr: l.Addr().String(), listener: l, to: to, done: make(chan struct{}), conns: map[*pair]bool{}, moved: make(chan struct{}),
		drawn: rand.New(rand.NewPCG(12, 30))}
	p.directions[ToServer].cutAfter, p.directions[ToClient].cutAfter = -1, -1
	p.wait.Go(p.accept)
	return p, nil
}

// Close resets all connections and ends the path.
func (p *Path) Close() {
	close(p.done)
	p.listener.Close()
	p.Reset()
	p.wait.Wait()
}

func (p *Path) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.moved)
	p.moved = make(chan struct{})
}

// SetTarget has connections that are made from now on go to another address.
func (p *Path) SetTarget(to string) { p.change(func() { p.to = to }) }

// Shape sets the delay of both directions, the part of what is sent that is lost on its way, and the bytes a second.
func (p *Path) Shape(delay time.Duration, loss float64, bandwidth int) {
	p.change(func() {
		for i := range p.directions {
			p.directions[i].delay, p.directions[i].loss, p.directions[i].bandwidth = delay, loss, bandwidth
		}
	})
}

// Block holds up all that comes in a direction, or lets it go on. Nobody is told.
func (p *Path) Block(d Direction, on bool) { p.change(func() { p.directions[d].blocked = on }) }

// CutAfter resets all connections when so many more bytes have gone in a direction.
func (p *Path) CutAfter(d Direction, bytes int64) {
	p.change(func() { p.directions[d].cutAfter = bytes })
}

// Reset resets all connections.
func (p *Path) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

// Bytes returns how many bytes have gone in a direction.
func (p *Path) Bytes(d Direction) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes[d]
}

type pair struct{ ends [2]*net.TCPConn }

// reset ends both sides so that the peers see it at once, whatever is under way.
func (c *pair) reset() {
	for _, e := range c.ends {
		e.SetLinger(0)
		e.Close()
	}
}

func (p *Path) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wait.Go(func() {
			p.mu.Lock()
			addr := p.to
			p.mu.Unlock()
			to, err := net.DialTimeout("tcp", addr, 5*time.Second)
			if err != nil {
				from.(*net.TCPConn).SetLinger(0)
				from.Close()
				return
			}
			c := &pair{[2]*net.TCPConn{from.(*net.TCPConn), to.(*net.TCPConn)}}
			p.mu.Lock()
			p.conns[c] = true
			p.mu.Unlock()
			select {
			case <-p.done: // it was not there to be reset
				c.reset()
			default:
			}
			var both sync.WaitGroup
			both.Go(func() { p.pump(c, ToServer) })
			both.Go(func() { p.pump(c, ToClient) })
			both.Wait()
			c.reset()
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.conns, c)
		})
	}
}

// pump carries one direction's bytes, until one side ends.
func (p *Path) pump(c *pair, d Direction) {
	from, to := c.ends[d], c.ends[1-d]
	type chunk struct {
		text []byte
		due  time.Time
	}
	queue := make(chan chunk, 256)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(queue)
		for {
			text := make([]byte, 16<<10)
			n, err := from.Read(text)
			if n > 0 {
				p.mu.Lock()
				due := time.Now().Add(p.directions[d].delay)
				if p.directions[d].loss > 0 && p.drawn.Float64() < p.directions[d].loss {
					due = due.Add(retransmitTimeout)
				}
				p.mu.Unlock()
				queue <- chunk{text[:n], due}
			}
			if err != nil {
				return
			}
		}
	})
	defer reader.Wait()
	defer func() {
		c.reset()
		for range queue { // the reader ends by the reset
		}
	}()
	for k := range queue {
		time.Sleep(time.Until(k.due))
		for len(k.text) > 0 {
			n, ok := p.pass(d, len(k.text))
			if n > 0 {
				if _, err := to.Write(k.text[:n]); err != nil {
					return
				}
				k.text = k.text[n:]
			}
			if !ok {
				if n > 0 {
					time.Sleep(time.Millisecond) // a reset would take back what was just written
				}
				p.Reset()
				return
			}
		}
	}
	to.CloseWrite()
}

// pass waits until bytes may go on, and returns how many; ok is false where the connections break after them.
func (p *Path) pass(d Direction, n int) (int, bool) {
	for {
		p.mu.Lock()
		w, moved := &p.directions[d], p.moved
		if w.blocked {
			p.mu.Unlock()
			select {
			case <-moved:
				continue
			case <-p.done:
				return 0, false
			}
		}
		ok := true
		if w.cutAfter >= 0 {
			if int64(n) >= w.cutAfter {
				n, ok = int(w.cutAfter), false
				w.cutAfter = -1
			} else {
				w.cutAfter -= int64(n)
			}
		}
		p.bytes[d] += int64(n)
		bandwidth := w.bandwidth
		p.mu.Unlock()
		if bandwidth > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(bandwidth))
		}
		return n, ok
	}
}
