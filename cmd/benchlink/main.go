// Command benchlink hosts balancers on the simulator's wire: batches of events
// on standard input, one reply for each on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"silvertrail/internal/platform/settings"
	"silvertrail/lbpolicy"
	"silvertrail/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run answers batches until input ends between two frames.
func run(in io.Reader, out io.Writer) error {
	d := wire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	l := &adapter{instances: map[uint32]*lbpolicy.Balancer{}}
	for {
		now, body, err := d.Next()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		l.now = now
		l.reply.Reset()
		if err := d.Dispatch(body, l); err != nil {
			return err
		}
		if _, err := out.Write(l.reply.Bytes()); err != nil {
			return err
		}
	}
}

// adapter keeps one balancer an instance and hands it its events.
type adapter struct {
	now       time.Duration
	reply     wire.Reply
	instances map[uint32]*lbpolicy.Balancer
}

// withBalancer runs f on an instance's balancer; a panic in it becomes an exception of that instance.
func (l *adapter) withBalancer(inst uint32, f func(*lbpolicy.Balancer)) {
	b := l.instances[inst]
	if b == nil {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			delete(l.instances, inst)
			l.reply.Exception(inst, fmt.Sprint(p))
		}
	}()
	f(b)
}

func (l *adapter) Open(inst uint32, seed uint64, text []byte) {
	delete(l.instances, inst)
	s, err := settings.Parse(text)
	if err == nil {
		l.instances[inst], err = lbpolicy.New(s, seed, l.reply.Host(inst))
	}
	if err != nil {
		delete(l.instances, inst)
		l.reply.Exception(inst, err.Error())
	}
}

func (l *adapter) Halt(inst uint32) { delete(l.instances, inst) }

func (l *adapter) UpdateEndpoints(inst uint32, kind lbpolicy.ListKind, entries []lbpolicy.Server) {
	l.withBalancer(inst, func(b *lbpolicy.Balancer) { b.UpdateEndpoints(l.now, kind, entries) })
}

func (l *adapter) Request(inst uint32, r lbpolicy.Request) {
	l.withBalancer(inst, func(b *lbpolicy.Balancer) { b.Request(l.now, r) })
}

func (l *adapter) ResponseStarted(inst uint32, id lbpolicy.RequestID) {
	l.withBalancer(inst, func(b *lbpolicy.Balancer) { b.ResponseStarted(l.now, id) })
}

func (l *adapter) Outcome(inst uint32, o lbpolicy.Outcome) {
	l.withBalancer(inst, func(b *lbpolicy.Balancer) { b.Outcome(l.now, o) })
}

func (l *adapter) ClientDisconnected(inst uint32, id lbpolicy.RequestID) {
	l.withBalancer(inst, func(b *lbpolicy.Balancer) { b.ClientDisconnected(l.now, id) })
}

func (l *adapter) Timer(inst uint32, token uint64) {
	l.withBalancer(inst, func(b *lbpolicy.Balancer) { b.Timer(l.now, token) })
}
