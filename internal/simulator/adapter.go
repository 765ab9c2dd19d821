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

// Run answers batches until the input ends between two frames.
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

// adapter holds a balancer for each instance, and passes events to it. It implements Handler.
type adapter struct {
	now       time.Duration
	reply     Reply
	instances map[uint32]*lbpolicy.Balancer
}

// withBalancer calls f with an instance's balancer. A panic in it becomes an exception of that instance.
func (a *adapter) withBalancer(inst uint32, f func(*lbpolicy.Balancer)) {
	b := a.instances[inst]
	if b == nil {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			delete(a.instances, inst)
			a.reply.Exception(inst, fmt.Sprint(p))
		}
	}()
	f(b)
}

// Open implements Handler: it starts an instance.
func (a *adapter) Open(inst uint32, seed uint64, text []byte) {
	delete(a.instances, inst)
	s, err := settings.Parse(text)
	if err == nil {
		a.instances[inst], err = lbpolicy.New(s, seed, a.reply.Host(inst))
	}
	if err != nil {
		delete(a.instances, inst)
		a.reply.Exception(inst, err.Error())
	}
}

// Halt implements Handler: it ends an instance.
func (a *adapter) Halt(inst uint32) { delete(a.instances, inst) }

// UpdateEndpoints implements Handler: it passes a list on.
func (a *adapter) UpdateEndpoints(inst uint32, kind lbpolicy.ListKind, entries []lbpolicy.Server) {
	a.withBalancer(inst, func(b *lbpolicy.Balancer) { b.UpdateEndpoints(a.now, kind, entries) })
}

// Request implements Handler: it passes a request on.
func (a *adapter) Request(inst uint32, r lbpolicy.Request) {
	a.withBalancer(inst, func(b *lbpolicy.Balancer) { b.Request(a.now, r) })
}

// ResponseStarted implements Handler: it passes the start of a response on.
func (a *adapter) ResponseStarted(inst uint32, id lbpolicy.RequestID) {
	a.withBalancer(inst, func(b *lbpolicy.Balancer) { b.ResponseStarted(a.now, id) })
}

// Outcome implements Handler: it passes the end of an attempt on.
func (a *adapter) Outcome(inst uint32, o lbpolicy.Outcome) {
	a.withBalancer(inst, func(b *lbpolicy.Balancer) { b.Outcome(a.now, o) })
}

// ClientDisconnected implements Handler: it passes a disconnect on.
func (a *adapter) ClientDisconnected(inst uint32, id lbpolicy.RequestID) {
	a.withBalancer(inst, func(b *lbpolicy.Balancer) { b.ClientDisconnected(a.now, id) })
}

// Timer implements Handler: it passes a timer on.
func (a *adapter) Timer(inst uint32, token uint64) {
	a.withBalancer(inst, func(b *lbpolicy.Balancer) { b.Timer(a.now, token) })
}
