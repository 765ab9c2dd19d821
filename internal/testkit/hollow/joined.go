package hollow

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"silvertrail/internal/fleet"
	"silvertrail/internal/fleet/version"
)

// FleetName and Key are those of the fleets that are measured.
const FleetName = "scale"

// Key returns the key that encrypts their packets.
func Key() []byte { return bytes.Repeat([]byte{3}, 32) }

// Sent counts what the members of this process send: packets with their heads of IP and UDP. What goes as a stream is not counted.
type Sent struct{ Bytes, Packets atomic.Int64 }

// FleetMember is the part of a member that says who is in the fleet, and on what it acts.
type FleetMember struct {
	Name string

	fleet      *fleet.Fleet
	generation atomic.Int64 // generation that it acts on
}

// countingTransport is a transport that counts what it sends.
type countingTransport struct {
	*fleet.Transport
	sent *Sent
}

const packetHeaderBytes = 28 // bytes of IP and UDP

func (c *countingTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	c.sent.Bytes.Add(int64(len(b)) + packetHeaderBytes)
	c.sent.Packets.Add(1)
	return c.Transport.WriteTo(b, addr)
}

func (c *countingTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return c.WriteTo(b, a.Addr)
}

// listName is the list whose version members tell each other.
const listName = "scale"

// Join starts a member; listen may have port 0.
func Join(name, listen string, seeds []string, most int, sent *Sent) (*FleetMember, error) {
	t, err := fleet.Listen(listen)
	if err != nil {
		return nil, err
	}
	j := &FleetMember{Name: name}
	j.generation.Store(1)
	j.fleet, err = fleet.Start(fleet.Options{FleetName: FleetName, Name: name, Listen: t.Addr(), Seeds: seeds, Keyring: [][]byte{Key()}, MaxMembers: most, MaxKeys: 1 << 10, NewFleet: true,
		Views: true, Versions: true, RolloutTimeout: 10 * time.Second, MaxDeadline: 2 * time.Second, KeyRetention: 10 * time.Second, Log: slog.New(slog.DiscardHandler),
		Transport: &countingTransport{t, sent}, AppliedVersions: func() []version.Entry {
			return []version.Entry{{Kind: version.EndpointList, Name: listName, Hash: hashOf(int(j.generation.Load()))}}
		}})
	return j, err
}

func hashOf(generation int) version.Hash { return version.HashOf(fmt.Append(nil, generation)) }

// Addr is where others reach it.
func (j *FleetMember) Addr() string { return j.fleet.Addr() }

// SetGeneration has the member act on a generation.
func (j *FleetMember) SetGeneration(generation int) { j.generation.Store(int64(generation)) }

// Close ends it without a word.
func (j *FleetMember) Close() { j.fleet.Close() }

// pollInterval is how often a member is asked what it knows. Asking costs as much as the fleet has members, so that looking at all of them costs
// the square of it.
const pollInterval = 500 * time.Millisecond

// AwaitView waits until the member's view has so many members.
func (j *FleetMember) AwaitView(ctx context.Context, members int) (time.Time, bool) {
	return awaitCondition(ctx, func() bool {
		v, _ := j.fleet.Versions()
		return len(v.Members) == members
	})
}

// AwaitGeneration waits until the member knows of so many that they act on a generation.
func (j *FleetMember) AwaitGeneration(ctx context.Context, members, generation int) (time.Time, bool) {
	want := hashOf(generation)
	return awaitCondition(ctx, func() bool {
		v, _ := j.fleet.Versions()
		n := 0
		for _, m := range v.Members {
			if e, ok := m.Vector.Find(version.EndpointList, listName); ok && e.Hash == want {
				n++
			}
		}
		return n >= members
	})
}

func awaitCondition(ctx context.Context, ok func() bool) (time.Time, bool) {
	for {
		if ok() {
			return time.Now(), true
		}
		select {
		case <-ctx.Done():
			return time.Time{}, false
		case <-time.After(pollInterval):
		}
	}
}
