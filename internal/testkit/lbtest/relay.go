package lbtest

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"
)

// Relays stand before the processes of a fleet, one before each, and drop, delay, double and reorder packets by
// direction and pair. Who sends a packet or dials a stream is known by the address that it comes from, as each process
// listens on one of its own: a stream is closed while the way of its bytes is cut in either direction.
type Relays struct {
	t          testing.TB
	targets    []netip.AddrPort // of the processes
	sockets    []*net.UDPConn
	streams    []*net.TCPListener
	tasks      sync.WaitGroup
	mu         sync.Mutex
	cut        map[[2]int]bool
	loss       float64
	duplicated float64
	maxDelay   time.Duration // at the most
	rng        *rand.Rand
	conns      map[net.Conn][2]int // who dials, and to whom
	closed     bool
	passed     int // packets
	stopped    int
	timers     sync.WaitGroup
}

// NewRelays starts a relay before each of the addresses, no two of which may be of one IP address.
func NewRelays(t testing.TB, behind []string) *Relays {
	t.Helper()
	r := &Relays{t: t, cut: map[[2]int]bool{}, rng: rand.New(rand.NewPCG(36, 2)), conns: map[net.Conn][2]int{}}
	for _, b := range behind {
		r.targets = append(r.targets, netip.MustParseAddrPort(b))
		var tcp *net.TCPListener
		var udp *net.UDPConn
		for range 10 { // a port that is free for both
			var err error
			if tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
				t.Fatal(err)
			}
			if udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: tcp.Addr().(*net.TCPAddr).Port}); err == nil {
				break
			}
			tcp.Close()
		}
		if udp == nil {
			t.Fatal("no port for packets and streams")
		}
		r.sockets, r.streams = append(r.sockets, udp), append(r.streams, tcp)
	}
	for i := range behind {
		r.tasks.Go(func() { r.packets(i) })
		r.tasks.Go(func() { r.accept(i) })
	}
	t.Cleanup(r.close)
	return r
}

// Addrs returns the relays' addresses.
func (r *Relays) Addrs() (out []string) {
	for _, s := range r.streams {
		out = append(out, s.Addr().String())
	}
	return out
}

func (r *Relays) close() {
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	for i := range r.sockets {
		r.sockets[i].Close()
		r.streams[i].Close()
	}
	r.tasks.Wait()
	r.timers.Wait()
}

// Sever cuts all ways from one set of processes to another, in that direction, on or off.
func (r *Relays) Sever(from, to []int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				r.cut[[2]int{a, b}] = on
			}
		}
	}
	for c, way := range r.conns {
		if r.severed(way) {
			c.Close()
		}
	}
}

// Counts returns how many packets have passed, and how many were stopped.
func (r *Relays) Counts() (passed, stopped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passed, r.stopped
}

// Heal opens all ways and ends all troubles.
func (r *Relays) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cut)
	r.loss, r.duplicated, r.maxDelay = 0, 0, 0
}

// SetFaults loses and doubles such parts of all packets, and has them come up to so late, and so out of order.
func (r *Relays) SetFaults(loss, doubled float64, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss, r.duplicated, r.maxDelay = loss, doubled, late
}

// severed tells whether a stream can't stand. The caller holds the lock.
func (r *Relays) severed(way [2]int) bool { return r.cut[way] || r.cut[[2]int{way[1], way[0]}] }

// sender returns who has an address; -1: nobody.
func (r *Relays) sender(ip netip.Addr) int {
	return slices.IndexFunc(r.targets, func(b netip.AddrPort) bool { return b.Addr() == ip.Unmap() })
}

// schedule draws what becomes of a packet: when its copies go on.
func (r *Relays) schedule(from, to int) (copies []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	if r.rng.Float64() < r.duplicated {
		n = 2
	}
	for range n {
		if r.closed || r.cut[[2]int{from, to}] || r.rng.Float64() < r.loss {
			r.stopped++
			continue
		}
		r.passed++
		d := time.Duration(0)
		if r.maxDelay > 0 {
			d = time.Duration(r.rng.Int64N(int64(r.maxDelay)))
		}
		copies = append(copies, d)
	}
	return copies
}

func (r *Relays) packets(to int) {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := r.sockets[to].ReadFromUDPAddrPort(buffer)
		if err != nil {
			r.mu.Lock()
			over := r.closed
			r.mu.Unlock()
			if over {
				return
			}
			continue // a process that is not there, told by ICMP
		}
		for _, d := range r.schedule(r.sender(from.Addr()), to) {
			if d == 0 {
				r.sockets[to].WriteToUDPAddrPort(buffer[:n], r.targets[to])
				continue
			}
			text := append([]byte(nil), buffer[:n]...)
			r.timers.Add(1)
			time.AfterFunc(d, func() {
				defer r.timers.Done()
				r.sockets[to].WriteToUDPAddrPort(text, r.targets[to])
			})
		}
	}
}

func (r *Relays) accept(to int) {
	for {
		c, err := r.streams[to].Accept()
		if err != nil {
			return
		}
		r.tasks.Go(func() { r.stream(c, to) })
	}
}

func (r *Relays) stream(c net.Conn, to int) {
	defer c.Close()
	far, err := net.DialTimeout("tcp", r.targets[to].String(), Wait)
	if err != nil {
		return
	}
	defer far.Close()
	way := [2]int{r.sender(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()), to}
	r.mu.Lock()
	stopped := r.closed || r.severed(way)
	if !stopped {
		r.conns[c], r.conns[far] = way, way
	}
	r.mu.Unlock()
	if stopped {
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, c)
		delete(r.conns, far)
	}()
	done := make(chan struct{})
	go func() {
		io.Copy(far, c)
		far.(*net.TCPConn).CloseWrite()
		close(done)
	}()
	io.Copy(c, far)
	c.(*net.TCPConn).CloseWrite()
	<-done
}
