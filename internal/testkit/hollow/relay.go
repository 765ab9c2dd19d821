package hollow

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Count is what has gone over a way.
type Count struct {
	Bytes    int64 `json:"bytes"`    // of streams, both directions; not the heads of IP and TCP
	Messages int64 `json:"messages"` // of gRPC, both directions
	Opened   int64 `json:"opened"`   // connections
}

// Minus returns the difference to an earlier count.
func (c Count) Minus(d Count) Count {
	return Count{c.Bytes - d.Bytes, c.Messages - d.Messages, c.Opened - d.Opened}
}

// Plus returns the sum.
func (c Count) Plus(d Count) Count {
	return Count{c.Bytes + d.Bytes, c.Messages + d.Messages, c.Opened + d.Opened}
}

// Relay is a way to a control plane that counts what goes over it, and can be held up: nothing is passed on then, in neither direction,
// and little is read, as by a receiver that does not read.
type Relay struct {
	Addr string

	listener net.Listener
	tasks    sync.WaitGroup

	bytes, messages, opened atomic.Int64

	mu        sync.Mutex
	to        string
	unblocked chan struct{} // closed where it is not held up
	conns     map[net.Conn]bool
	closed    bool
}

const dialWait = 5 * time.Second

// NewRelay opens a way to an address.
func NewRelay(to string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Addr: l.Addr().String(), listener: l, to: to, unblocked: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(r.unblocked)
	r.tasks.Go(r.accept)
	return r, nil
}

// SetTarget leads new connections to another address.
func (r *Relay) SetTarget(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.to = to
}

// Block holds the way up, or lets it go on.
func (r *Relay) Block(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.unblocked:
		if on {
			r.unblocked = make(chan struct{})
		}
	default:
		if !on {
			close(r.unblocked)
		}
	}
}

// Count returns what has gone over it so far.
func (r *Relay) Count() Count {
	return Count{r.bytes.Load(), r.messages.Load(), r.opened.Load()}
}

// Close ends all connections, and the way.
func (r *Relay) Close() {
	r.Block(false)
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.tasks.Wait()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.tasks.Go(func() { r.serve(c) })
	}
}

func (r *Relay) serve(near net.Conn) {
	defer near.Close()
	r.mu.Lock()
	to := r.to
	r.mu.Unlock()
	far, err := net.DialTimeout("tcp", to, dialWait)
	if err != nil {
		return
	}
	defer far.Close()
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.conns[near], r.conns[far] = true, true
	r.mu.Unlock()
	r.opened.Add(1)
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, near)
		delete(r.conns, far)
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.carry(far, near, &messageCounter{skip: len(preface)})
	}()
	r.carry(near, far, &messageCounter{})
	<-done
}

// carry passes bytes on until one side ends, and then ends both.
func (r *Relay) carry(to, from net.Conn, f *messageCounter) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.mu.Lock()
			held := r.unblocked
			r.mu.Unlock()
			<-held
			r.bytes.Add(int64(n))
			r.messages.Add(int64(f.count(buffer[:n])))
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" // RFC 9113, section 3.4

// messageCounter counts the gRPC messages in the bytes of one direction of an HTTP/2 connection. It takes the streams of a connection to
// come one after the other, as the control planes' clients open them.
type messageCounter struct {
	skip int // bytes that are passed over
	data int // bytes of a DATA frame that are left
	head [9]byte
	have int // bytes of the frame's head

	prefix [5]byte // of a message: compressed or not, and its length
	got    int     // bytes of it
	left   int     // bytes of the message
	stream uint32
}

const dataFrame = 0 // RFC 9113, section 6.1

// count takes the next bytes, and returns how many messages began in them.
func (f *messageCounter) count(b []byte) (begun int) {
	for len(b) > 0 {
		if f.skip > 0 {
			n := min(f.skip, len(b))
			f.skip, b = f.skip-n, b[n:]
			continue
		}
		if f.data > 0 {
			n := min(f.data, len(b))
			begun += f.message(b[:n])
			f.data, b = f.data-n, b[n:]
			continue
		}
		n := copy(f.head[f.have:], b)
		f.have, b = f.have+n, b[n:]
		if f.have < len(f.head) {
			break
		}
		f.have = 0
		length := int(f.head[0])<<16 | int(f.head[1])<<8 | int(f.head[2])
		if f.head[3] != dataFrame {
			f.skip = length
			continue
		}
		if stream := binary.BigEndian.Uint32(f.head[5:]); stream != f.stream {
			f.stream, f.got, f.left = stream, 0, 0
		}
		f.data = length
	}
	return begun
}

func (f *messageCounter) message(b []byte) (begun int) {
	for len(b) > 0 {
		if f.left > 0 {
			n := min(f.left, len(b))
			f.left, b = f.left-n, b[n:]
			continue
		}
		n := copy(f.prefix[f.got:], b)
		f.got, b = f.got+n, b[n:]
		if f.got < len(f.prefix) {
			break
		}
		f.got, f.left = 0, int(binary.BigEndian.Uint32(f.prefix[1:]))
		begun++
	}
	return begun
}
