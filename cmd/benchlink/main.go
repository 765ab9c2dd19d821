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
	l := &link{instances: map[uint32]*lbpolicy.Balancer{}}
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

// link keeps one balancer an instance and hands it its events.
type link struct {
	now       time.Duration
	reply     wire.Reply
	instances map[uint32]*lbpolicy.Balancer
}

// with runs f on an instance's balancer; a panic in it becomes an exception of that instance.
func (l *link) with(inst uint32, f func(*lbpolicy.Balancer)) {
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

func (l *link) Open(inst uint32, seed uint64, text []byte) {
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

func (l *link) Halt(inst uint32) { delete(l.instances, inst) }

func (l *link) Members(inst uint32, kind lbpolicy.ListKind, entries []lbpolicy.Server) {
	l.with(inst, func(b *lbpolicy.Balancer) { b.UpdateEndpoints(l.now, kind, entries) })
}

func (l *link) Request(inst uint32, r lbpolicy.Request) {
	l.with(inst, func(b *lbpolicy.Balancer) { b.Request(l.now, r) })
}

func (l *link) Started(inst uint32, id lbpolicy.RequestID) {
	l.with(inst, func(b *lbpolicy.Balancer) { b.ResponseStarted(l.now, id) })
}

func (l *link) Outcome(inst uint32, o lbpolicy.Outcome) {
	l.with(inst, func(b *lbpolicy.Balancer) { b.Outcome(l.now, o) })
}

func (l *link) Gone(inst uint32, id lbpolicy.RequestID) {
	l.with(inst, func(b *lbpolicy.Balancer) { b.ClientDisconnected(l.now, id) })
}

func (l *link) Timer(inst uint32, token uint64) {
	l.with(inst, func(b *lbpolicy.Balancer) { b.Timer(l.now, token) })
}
