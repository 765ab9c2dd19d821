package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"silvertrail/internal/platform/settings"
	"silvertrail/lbpolicy"
)

// Run reads batches of events from in and writes one reply frame for each to out. It returns nil when the input ends between two
// frames.
func Run(in io.Reader, out io.Writer) error {
	d := NewDecoder(bufio.NewReaderSize(in, 1<<16))
	a := &adapter{instances: map[uint32]*lbpolicy.Balancer{}}
	for {
		now, body, err := d.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		a.now = now
		a.reply.Reset()
		if err := d.Dispatch(body, a); err != nil {
			return err
		}
		if _, err := out.Write(a.reply.Bytes()); err != nil {
			return err
		}
	}
}

// adapter implements Handler. It holds one balancer per simulated instance and passes each event to the balancer of its instance.
type adapter struct {
	now       time.Duration
	reply     Reply
	instances map[uint32]*lbpolicy.Balancer
}

// withBalancer calls f with the balancer of an instance, and does nothing if the instance has none. A panic in f ends the instance
// and is reported as its exception.
func (a *adapter) withBalancer(instance uint32, f func(*lbpolicy.Balancer)) {
	b := a.instances[instance]
	if b == nil {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			delete(a.instances, instance)
			a.reply.Exception(instance, fmt.Sprint(p))
		}
	}()
	f(b)
}

// Open implements Handler. It starts an instance with the settings in text, replacing an instance of the same number. Invalid
// settings are reported as an exception of the instance.
func (a *adapter) Open(instance uint32, seed uint64, text []byte) {
	delete(a.instances, instance)
	s, err := settings.Parse(text)
	if err == nil {
		a.instances[instance], err = lbpolicy.New(s, seed, a.reply.Host(instance))
	}
	if err != nil {
		delete(a.instances, instance)
		a.reply.Exception(instance, err.Error())
	}
}

// Halt implements Handler. It ends an instance.
func (a *adapter) Halt(instance uint32) { delete(a.instances, instance) }

// UpdateEndpoints implements Handler. It passes an endpoint list to the balancer.
func (a *adapter) UpdateEndpoints(instance uint32, kind lbpolicy.ListKind, entries []lbpolicy.Server) {
	a.withBalancer(instance, func(b *lbpolicy.Balancer) { b.UpdateEndpoints(a.now, kind, entries) })
}

// Request implements Handler. It passes an arriving request to the balancer.
func (a *adapter) Request(instance uint32, r lbpolicy.Request) {
	a.withBalancer(instance, func(b *lbpolicy.Balancer) { b.Request(a.now, r) })
}

// ResponseStarted implements Handler. It tells the balancer that a response has started.
func (a *adapter) ResponseStarted(instance uint32, id lbpolicy.RequestID) {
	a.withBalancer(instance, func(b *lbpolicy.Balancer) { b.ResponseStarted(a.now, id) })
}

// Outcome implements Handler. It passes the outcome of an attempt to the balancer.
func (a *adapter) Outcome(instance uint32, o lbpolicy.Outcome) {
	a.withBalancer(instance, func(b *lbpolicy.Balancer) { b.Outcome(a.now, o) })
}

// ClientDisconnected implements Handler. It tells the balancer that the client of a request has disconnected.
func (a *adapter) ClientDisconnected(instance uint32, id lbpolicy.RequestID) {
	a.withBalancer(instance, func(b *lbpolicy.Balancer) { b.ClientDisconnected(a.now, id) })
}

// Timer implements Handler. It tells the balancer that a timer has expired.
func (a *adapter) Timer(instance uint32, token uint64) {
	a.withBalancer(instance, func(b *lbpolicy.Balancer) { b.Timer(a.now, token) })
}
