package lbtest

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Links is the state of the ways between instances: what is sent over real sockets is cut, doubled, held up and overtaken
// here, by sender and receiver.
type Links struct {
	mu        sync.Mutex
	names     map[string]int // by address
	cut       map[[2]int]bool
	slow      time.Duration // for each stream to open
	distorted bool          // packets come twice, late and out of order
	rng       *rand.Rand
	delayed   sync.WaitGroup
	closed    bool
}

// NewLinks returns ways that are all open.
func NewLinks() *Links {
	return &Links{names: map[string]int{}, cut: map[[2]int]bool{}, rng: rand.New(rand.NewPCG(21, 4))}
}

// Sever cuts all ways from one set of instances to another, in that direction.
func (l *Links) Sever(from, to []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			l.cut[[2]int{a, b}] = true
		}
	}
}

// Heal opens all ways.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cut)
}

func (l *Links) link(from int, to string) (cut bool, delay time.Duration, twice bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.distorted {
		delay = time.Duration(l.rng.IntN(30)) * time.Millisecond
		twice = l.rng.IntN(5) == 0
	}
	return l.cut[[2]int{from, l.names[to]}], delay, twice
}

// sendLater has a packet go out by itself, unless the links are gone.
func (l *Links) sendLater(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.delayed.Go(f)
	}
}

// Close waits for what is still on its way.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.delayed.Wait()
}

// Distort has packets come twice, late and out of order from now on.
func (l *Links) Distort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.distorted = true
}

// Slow has each stream take so long to open from now on.
func (l *Links) Slow(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = d
}

// Wrap puts an instance's sockets behind the links. The address is that on which others reach it.
func (l *Links) Wrap(me int, sockets memberlist.NodeAwareTransport, addr string) memberlist.NodeAwareTransport {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names[addr] = me
	return &transport{sockets, l, me}
}

// transport is an instance's sockets, with the links' troubles.
type transport struct {
	memberlist.NodeAwareTransport
	links *Links
	me    int
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	cut, delay, twice := t.links.link(t.me, addr)
	switch {
	case cut:
		return time.Now(), nil // lost on its way
	case delay > 0:
		text := bytes.Clone(b)
		t.links.sendLater(func() {
			time.Sleep(delay)
			t.NodeAwareTransport.WriteTo(text, addr)
			if twice {
				t.NodeAwareTransport.WriteTo(text, addr)
			}
		})
		return time.Now(), nil
	}
	return t.NodeAwareTransport.WriteTo(b, addr)
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

func (t *transport) DialTimeout(addr string, d time.Duration) (net.Conn, error) {
	t.links.mu.Lock()
	to := t.links.names[addr]
	cut := t.links.cut[[2]int{t.me, to}] || t.links.cut[[2]int{to, t.me}]
	slow := t.links.slow
	t.links.mu.Unlock()
	time.Sleep(slow)
	if cut {
		return nil, errors.New("no way")
	}
	return t.NodeAwareTransport.DialTimeout(addr, d)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, d)
}
