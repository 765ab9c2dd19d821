package main

import (
	"errors"
	"fmt"

	"google.golang.org/grpc"

	"silvertrail/internal/testkit/hollow"
	"silvertrail/internal/testkit/xdsserver"
)

const maxMessage = 16 << 20

// planeProcess is a control machine: the stand-in, or the program's own.
type planeProcess struct {
	Name    string
	Listen  string
	Product bool
	State   string
	Peer    map[string]string // addresses of the others, by name
}

// machine is what a control machine can be told.
type machine interface {
	put(*hollow.State) error
	close()
}

func (p *planeProcess) Run() error {
	var m machine = &standIn{listen: p.Listen}
	if p.Product {
		var err error
		if m, err = p.product(); err != nil {
			return err
		}
	}
	defer m.close()
	return obey(func(o order) (reply, error) {
		switch o.Op {
		case "where":
			return reply{Addr: p.Listen}, nil
		case "put":
			return reply{}, m.put(o.State)
		}
		return reply{}, errors.New("no such order")
	})
}

// standIn listens once it has something to tell: one that comes back empty would tell all that nothing is there.
type standIn struct {
	listen string
	plane  *xdsserver.Server
}

func (s *standIn) put(state *hollow.State) error {
	first := s.plane == nil
	if first {
		var err error
		if s.plane, err = xdsserver.Start(s.listen, grpc.MaxSendMsgSize(maxMessage)); err != nil {
			return err
		}
		s.plane.Hang(true)
	}
	err := s.plane.Put(fmt.Sprint(state.Generation), state.Resources()...)
	if first {
		s.plane.Hang(false)
	}
	return err
}

func (s *standIn) close() {
	if s.plane != nil {
		s.plane.Close()
	}
}
