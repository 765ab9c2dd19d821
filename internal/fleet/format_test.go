package fleet

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/fleet/gossip"
	"silvertrail/internal/fleet/membership"
	"silvertrail/internal/fleet/ownership"
	"silvertrail/internal/fleet/version"
	"silvertrail/internal/fleet/versionlag"
	"silvertrail/internal/testkit/golden"
)

// Packets are encoded in the order of their fields. The samples below set each field by name to its own value, so that a moved
// field changes the encoding.
var (
	formatClaimID = ownership.ClaimID{Process: 0x0102030405060708, Number: 9}
	formatPlace   = idempotency.Place{Cluster: "cluster-a", Zone: "zone-b", Cell: 3}
	formatKeyID   = idempotency.KeyID{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	formatHash    = version.Hash{21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 34, 35, 36}
	formatDelta   = membership.Delta{
		Remove: []membership.Member{{Name: "removed", Address: "127.0.0.1:31", Incarnation: 31}},
		Add:    []membership.Member{{Name: "added", Address: "127.0.0.1:32", Incarnation: 32}},
	}
	formatVector = version.Vector{{Kind: version.Configuration, Name: "entry", Hash: formatHash, Number: 41,
		Ancestors: []version.Ancestor{{Number: 40, Hash: version.Hash{51}}}, Description: "as called"}}
)

func formatMessage() *membership.Message {
	return &membership.Message{
		Kind: membership.Promise, From: membership.Member{Name: "from", Address: "127.0.0.1:11", Incarnation: 11},
		Lineage: 12, ViewNumber: 13, ViewHash: 14, Seq: 15, Isolated: true, Leaving: true, Unreachable: []uint16{16},
		Rows:      []membership.ReachabilityRow{{Seq: 17, Unreachable: 18}},
		Target:    membership.Member{Name: "target", Address: "127.0.0.1:19", Incarnation: 19},
		Suspects:  []membership.Member{{Name: "accused", Address: "127.0.0.1:20", Incarnation: 20}},
		Joining:   []membership.Member{{Name: "joining", Address: "127.0.0.1:21", Incarnation: 21}},
		Departing: []membership.Member{{Name: "left", Address: "127.0.0.1:22", Incarnation: 22}},
		Ballot:    membership.Ballot{Round: 23, Name: "ballot"}, PriorBallot: membership.Ballot{Round: 24, Name: "prior"},
		Delta: &formatDelta, Affirmed: true,
		View: &membership.View{Lineage: 25, Number: 26, Members: []membership.Member{{Name: "whole", Address: "127.0.0.1:27", Incarnation: 27}}},
	}
}

var formatItems = map[string]item{
	"ask": {Proposal: &ownership.Proposal{Claim: formatClaimID, Round: 4, Key: formatKeyID, Place: formatPlace, Scope: 1, Window: 5 * time.Second,
		Retention: 6 * time.Second, TTL: 7 * time.Second}},
	"answer": {Response: &ownership.Response{Claim: formatClaimID, Round: 4, Vote: ownership.HeldElsewhere, Place: formatPlace, SeveralGroups: true, Remaining: 8 * time.Second}},
	"end":    {Release: &ownership.Release{Claim: formatClaimID, NeverRan: true}},
	"want":   {SnapshotRequest: 71},
	"copy": {SnapshotPart: &snapshotPart{RequestID: 72, Part: 1, Parts: 3, Keys: []ownership.KeyState{{Key: formatKeyID, Place: formatPlace, SeveralZones: true, SeveralCells: true,
		RetryFor: 9 * time.Second, ExpiresIn: 10 * time.Second}}}},
	"membership": {Membership: formatMessage()},
	"versions": {Gossip: &gossip.Message{
		Digests:  []gossip.Digest{{Name: "head", Incarnation: 81, Generation: 82, Seq: 83, AgeMilliseconds: 84}},
		Requests: []gossip.Request{{Name: "want", Incarnation: 85, KnownSeq: 86}},
		Updates: []gossip.Update{{Name: "part", Incarnation: 87, Generation: 88, Seq: 90, BaseSeq: 89, Changed: formatVector, ChangedAt: []uint64{90},
			Tombstones: []gossip.Tombstone{{Kind: version.EndpointList, Name: "gone", DeletedAt: 90}}, CompactedSeq: 91, AppliedAt: 92, VectorHash: formatHash}},
	}},
}

// Each message is encoded to the bytes in its golden file, and these bytes are decoded to the same message.
func TestPacketFormatMatchesGoldenFiles(t *testing.T) {
	for name, i := range formatItems {
		t.Run(name, func(t *testing.T) {
			assertPacketFormat(t, name, i)
		})
	}
}

func assertPacketFormat(t *testing.T, name string, i item) {
	t.Helper()
	p := &packet{From: "sender", Process: 0x1112131415161718, Items: []item{i}}
	if v := reflect.ValueOf(i); name != "want" {
		for n := range v.NumField() {
			if f := v.Field(n); !f.IsZero() {
				if missing := golden.Unset(f.Interface()); len(missing) > 0 {
					t.Fatalf("sample has fields without a value: %v", missing)
				}
			}
		}
	}
	encoded, err := encode(p)
	if err != nil {
		t.Fatal(err)
	}
	recorded := golden.Binary(t, "packet-"+name+".hex", encoded)
	decoded, err := decode(recorded)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, p) {
		t.Errorf("decoded %+v, want %+v", decoded, p)
	}
	reencoded, err := encode(decoded)
	if err != nil {
		t.Fatal(err)
	}
	if string(reencoded) != string(recorded) {
		t.Errorf("encoded again as %x, want %x", reencoded, recorded)
	}
}

// The numbers of message kinds, votes and version kinds are part of the packet format.
func TestPacketEnumerationNumbersAreFixed(t *testing.T) {
	for n, kind := range []membership.Kind{membership.Heartbeat, membership.Ping, membership.Ack, membership.PingRequest, membership.IndirectAck, membership.Report,
		membership.Join, membership.NameTaken, membership.ViewRequest, membership.ViewResponse, membership.Prepare, membership.Promise, membership.Accept,
		membership.Accepted, membership.Decided, membership.GrantRequest, membership.Grant} {
		if int(kind) != n {
			t.Errorf("number of message kind %v is %d, want %d", kind, kind, n)
		}
	}
	for n, vote := range []ownership.Vote{ownership.Abstain, ownership.Grant, ownership.HeldElsewhere} {
		if int(vote) != n {
			t.Errorf("number of a vote is %d, want %d", vote, n)
		}
	}
	for n, kind := range []version.Kind{version.Build, version.Local, version.Configuration, version.Voters, version.Keyring, version.View, version.EndpointList,
		version.Resource, version.Rejected} {
		if int(kind) != n+1 {
			t.Errorf("number of version kind %v is %d, want %d", kind, kind, n+1)
		}
	}
}

// Members compare these hashes with each other, so each version of the program has to compute the same hashes.
func TestHashesOfSamplesAreFixed(t *testing.T) {
	view := formatMessage().View
	if got := view.Hash(); got != 0x74ad88d5dfcd589d {
		t.Errorf("hash of the sample view has changed: got %#x", got)
	}
	if got := formatVector.Digest().String(); got != "ac480e47" {
		t.Errorf("digest of the sample vector has changed: got %s", got)
	}
	if got := version.HashOf([]byte("content")).String(); got != "ed7002b4" {
		t.Errorf("hash of a sample content has changed: got %s", got)
	}
}

// The names of states and version kinds appear in metrics, on the control socket and in logs.
func TestStateNamesMatchGoldenFile(t *testing.T) {
	var names []string
	for _, s := range []membership.State{membership.Alive, membership.Suspect, membership.ReportsIsolation, membership.Unreachable, membership.Isolated, membership.Dead, membership.Left} {
		names = append(names, s.String())
	}
	for _, s := range []versionlag.State{versionlag.Current, versionlag.Updating, versionlag.Ahead, versionlag.Divergent, versionlag.Lagging, versionlag.NotReporting, versionlag.Forked} {
		names = append(names, s.String())
	}
	for k := version.Kind(0); k < 12; k++ {
		names = append(names, k.String())
	}
	encoded, err := json.MarshalIndent(names, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "state-names.json", encoded)
}

// The control socket returns these structs as JSON, whose format must not change.
func TestViewFormatMatchesGoldenFiles(t *testing.T) {
	for name, value := range map[string]any{"member": &Member{}, "reach": &ReachabilityView{}, "versions": &VersionsView{}} {
		golden.Fill(value)
		encoded, err := json.MarshalIndent(value, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		recorded := golden.Text(t, name+".json", encoded)
		decoded := reflect.New(reflect.TypeOf(value).Elem()).Interface()
		if err := json.Unmarshal(recorded, decoded); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded, value) {
			t.Errorf("%s: decoded %+v, want %+v", name, decoded, value)
		}
	}
}
