package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"silvertrail/internal/controlplane"
	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/testkit/hollow"
	"silvertrail/internal/xds/bootstrap"
)

// own is a control machine of the program's own.
type own struct{ server *controlplane.Server }

func (p *planeProcess) product() (machine, error) {
	o := api.Options{Name: p.Name, Listen: p.Listen, Insecure: true, StateFile: p.State}
	for name, address := range p.Peer {
		o.Peers = append(o.Peers, api.Peer{Name: name, ControlPlane: bootstrap.ControlPlane{Name: name, Address: address, Insecure: true}})
	}
	s, err := controlplane.Start(o, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	if err != nil {
		return nil, err
	}
	return own{s}, nil
}

// put publishes all; what is as it was is no change.
func (c own) put(s *hollow.State) error {
	var all []*anypb.Any
	for _, m := range s.Resources() {
		a := &anypb.Any{}
		if err := anypb.MarshalFrom(a, m, proto.MarshalOptions{Deterministic: true}); err != nil {
			return fmt.Errorf("packing a resource: %w", err)
		}
		all = append(all, a)
	}
	for end := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		_, err := c.server.PublishResources(all, nil)
		if !errors.Is(err, controlplane.ErrInitialSync) || time.Now().After(end) { // it has just begun: what it takes is part of the time told
			return err
		}
	}
}

func (c own) close() { c.server.Close() }
