package fake

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Path is a network path for TCP connections between two programs: it delays, blocks, limits, loses (which TCP shows as a delay of all that
// follows) and breaks what goes over it, in each direction by itself.
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

// The directions: from the client to the server, and back.
const (
	ToServer Direction = iota
	ToClient
)

// directionState holds the faults of one direction.
type directionState struct {
	delay     time.Duration
	bandwidth int // bytes a second; 0: any
	loss      float64
	blocked   bool  // what comes waits
	cutAfter  int64 // bytes that still pass before all connections are reset; -1: any number
}

const retransmitTimeout = 200 * time.Millisecond // TCP's least time before a retransmission

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

// Shape sets the delay, the loss fraction and the bytes a second of both directions.
func (p *Path) Shape(delay time.Duration, loss float64, bandwidth int) {
	p.change(func() {
		for i := range p.directions {
			p.directions[i].delay, p.directions[i].loss, p.directions[i].bandwidth = delay, loss, bandwidth
		}
	})
}

// Block blocks a direction, or unblocks it, without an error for either side.
func (p *Path) Block(d Direction, on bool) { p.change(func() { p.directions[d].blocked = on }) }

// CutAfter resets all connections when so many more bytes have passed in a direction.
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

// Bytes returns how many bytes have passed in a direction.
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

// chunk is what was read at once, and when it goes on.
type chunk struct {
	bytes []byte
	due   time.Time
}

const (
	chunkBytes = 16 << 10
	maxChunks  = 256 // on their way in a direction
	// resetDelay keeps a reset from taking back what was written just before.
	resetDelay = time.Millisecond
)

// pump carries one direction's bytes until one side ends.
func (p *Path) pump(c *pair, d Direction) {
	from, to := c.ends[d], c.ends[1-d]
	chunks := make(chan chunk, maxChunks)
	var reader sync.WaitGroup
	reader.Go(func() { p.read(from, d, chunks) })
	defer reader.Wait()
	defer func() {
		c.reset()
		for range chunks { // the reader ends with the reset
		}
	}()
	for k := range chunks {
		time.Sleep(time.Until(k.due))
		if !p.write(to, d, k.bytes) {
			return
		}
	}
	to.CloseWrite()
}

// read reads chunks until the connection ends.
func (p *Path) read(from *net.TCPConn, d Direction, chunks chan<- chunk) {
	defer close(chunks)
	for {
		bytes := make([]byte, chunkBytes)
		n, err := from.Read(bytes)
		if n > 0 {
			chunks <- chunk{bytes[:n], p.arrival(d)}
		}
		if err != nil {
			return
		}
	}
}

// arrival returns when bytes that are sent now arrive.
func (p *Path) arrival(d Direction) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := time.Now().Add(p.directions[d].delay)
	if loss := p.directions[d].loss; loss > 0 && p.drawn.Float64() < loss {
		due = due.Add(retransmitTimeout)
	}
	return due
}

// write writes bytes as the direction lets them pass. It returns false where the connections ended.
func (p *Path) write(to *net.TCPConn, d Direction, bytes []byte) bool {
	for len(bytes) > 0 {
		n, ok := p.pass(d, len(bytes))
		if n > 0 {
			if _, err := to.Write(bytes[:n]); err != nil {
				return false
			}
			bytes = bytes[n:]
		}
		if !ok {
			if n > 0 {
				time.Sleep(resetDelay)
			}
			p.Reset()
			return false
		}
	}
	return true
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
