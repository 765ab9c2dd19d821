package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/goleak"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/fleet/ownership"
	"silvertrail/internal/fleet/partition"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

// TestMain checks for leaked goroutines, except for a probe of memberlist: a probe in flight during the shutdown ends by its own
// timeout.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/hashicorp/memberlist.(*Memberlist).probeNode"))
}

// testFleet is a fleet in one process. The links between its instances can be severed, slowed and distorted.
type testFleet struct {
	t             *testing.T
	links         *lbtest.Links
	instances     []*Fleet
	changeOptions func(*Options)
}

var encryptionKey = bytes.Repeat([]byte{7}, 32)

func instanceName(i int) string { return fmt.Sprint("i", i) }

// openTransport opens the transport of instance i behind the links, and returns it with its address.
func (fleet *testFleet) openTransport(i int) (memberlist.NodeAwareTransport, string) {
	fleet.t.Helper()
	transport, err := Listen("127.0.0.1:0")
	if err != nil {
		fleet.t.Fatal(err)
	}
	return fleet.links.Wrap(i, transport, transport.Addr()), transport.Addr()
}

// startInstance starts instance i, with the other instances as its seeds.
func (fleet *testFleet) startInstance(i int, newFleet bool, voters ...string) *Fleet {
	fleet.t.Helper()
	transport, address := fleet.openTransport(i)
	o := Options{FleetName: "test", Name: instanceName(i), Listen: address, Keyring: [][]byte{encryptionKey}, Voters: voters, MaxMembers: 32, MaxKeys: 1 << 14, NewFleet: newFleet,
		MaxDeadline: 600 * time.Millisecond, KeyRetention: 3 * time.Second, ProbeInterval: 100 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		Transport: transport}
	for _, f := range fleet.instances {
		if f != nil && f.options.Name != o.Name {
			o.Seeds = append(o.Seeds, f.options.Listen)
		}
	}
	if fleet.changeOptions != nil {
		fleet.changeOptions(&o)
	}
	f, err := Start(o)
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.t.Cleanup(f.Close)
	return f
}

// startTestFleet starts n instances, of which the first ones are voters, and waits until each instance sees all others.
func startTestFleet(t *testing.T, n, voters int) *testFleet {
	t.Helper()
	fleet := &testFleet{t: t, links: lbtest.NewLinks()}
	t.Cleanup(fleet.links.Close)
	var names []string
	for i := range voters {
		names = append(names, instanceName(i))
	}
	for i := range n {
		fleet.instances = append(fleet.instances, fleet.startInstance(i, true, names...))
	}
	fleet.awaitMembers(n)
	return fleet
}

// awaitMembers waits until each instance sees n alive members and divides the limits by n.
func (fleet *testFleet) awaitMembers(n int) {
	fleet.t.Helper()
	for _, f := range fleet.instances {
		lbtest.Until(fleet.t, fmt.Sprintf("%s sees %d alive members", f.options.Name, n), func() bool {
			got := f.Quota().Instances
			return got == n && f.countMembers("alive") == n
		})
	}
}

// countMembers returns the number of members in a state.
func (f *Fleet) countMembers(state string) (n int) {
	for _, m := range f.Members() {
		if m.State == state {
			n++
		}
	}
	return n
}

// proposalTTL is the time from the creation of a test's proposal within which attempts may be sent.
const proposalTTL = 600 * time.Millisecond

// newProposal returns a proposal to send the attempts of a key to a zone.
func (f *Fleet) newProposal(key string, zone string) ownership.Proposal {
	return ownership.Proposal{Claim: f.NextClaimID(), Key: idempotency.KeyIDOf("", key), Place: idempotency.Place{Cluster: "c", Zone: zone}, Scope: lbpolicy.ScopeZone,
		Window: time.Second, Retention: time.Second, TTL: proposalTTL}
}

// A key is claimed for one zone through one instance. Another instance then cannot claim it for another zone, and learns the
// owning zone instead, but can claim it for the owning zone. Once all attempts are released as never run, the key can be
// claimed for another zone.
func TestClaimedKeyIsOwnedElsewhereUntilReleased(t *testing.T) {
	fleet := startTestFleet(t, 4, 3)
	for i := range 24 {
		first, second := fleet.instances[i%4], fleet.instances[(i+1+i/4%3)%4]
		keyName := fmt.Sprint("k", i)
		firstProposal := first.newProposal(keyName, "north")
		if state, keyState := first.ClaimKey(t.Context(), firstProposal); state != ownership.Claimed || !keyState.Known {
			t.Fatalf("first claim of %s: got %v %+v, want a claimed key with a known state", keyName, state, keyState)
		}
		secondProposal := second.newProposal(keyName, "south")
		if state, keyState := second.ClaimKey(t.Context(), secondProposal); state != ownership.OwnedElsewhere || keyState.Place.Zone != "north" {
			t.Errorf("claim of %s for another zone: got %v %+v, want a key owned by zone north", keyName, state, keyState)
		}
		secondProposal.Round, secondProposal.Place.Zone = 1, "north"
		if state, _ := second.ClaimKey(t.Context(), secondProposal); state != ownership.Claimed {
			t.Errorf("claim of %s for the owning zone: got %v, want claimed", keyName, state)
		}
		first.Release(ownership.Release{Claim: firstProposal.Claim, NeverRan: true})
		second.Release(ownership.Release{Claim: secondProposal.Claim, NeverRan: true})
		lbtest.Until(t, "a key whose attempts never ran can be claimed for another zone", func() bool {
			state, _ := second.ClaimKey(t.Context(), second.newProposal(keyName, "south"))
			return state == ownership.Claimed
		})
	}
}

// Callers claim the same keys for one of two zones, through all instances. Meanwhile links are cut in one or both directions,
// packets are delayed, duplicated and reordered, and instances crash and restart. The periods in which instances may send
// attempts of one key to different zones must not overlap.
func TestKeyHasOneZoneDuringPartitionsAndRestarts(t *testing.T) {
	fleet := startTestFleet(t, 5, 5)
	fleet.links.Distort()
	type sendPeriod struct {
		zone        string
		from, until time.Time
	}
	var mu sync.Mutex
	sendPeriods := map[string][]sendPeriod{}
	results := map[ownership.State]int{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	var instancesMu sync.Mutex // guards fleet.instances
	const rounds = 40
	for caller := range 24 {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(caller), 5))
			for i := range rounds {
				keyName := fmt.Sprintf("k-%d-%d", i, caller/6) // six callers claim each key at about the same time
				instancesMu.Lock()
				f := fleet.instances[random.IntN(5)]
				instancesMu.Unlock()
				zone := []string{"north", "south"}[random.IntN(2)]
				proposedAt := time.Now()
				proposal := f.newProposal(keyName, zone)
				state, keyState := f.ClaimKey(ctx, proposal)
				now := time.Now()
				maySend := state == ownership.Claimed && now.Before(keyState.RetryUntil) && now.Before(proposedAt.Add(proposal.TTL))
				mu.Lock()
				results[state]++
				if maySend {
					sendPeriods[keyName] = append(sendPeriods[keyName], sendPeriod{zone, now, now.Add(proposal.Window + proposal.Retention)})
				}
				mu.Unlock()
				f.Release(ownership.Release{Claim: proposal.Claim, NeverRan: !maySend})
			}
		})
	}
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	partitions := [][2][]int{{{0, 1}, {2, 3, 4}}, {{4}, {0, 1, 2, 3}}, {{0, 1, 2}, {3, 4}}}
	for i, finished := 0, false; !finished; i++ {
		select {
		case <-done:
			finished = true
		case <-time.After(150 * time.Millisecond):
		}
		sides := partitions[i%len(partitions)]
		switch i % 4 {
		case 0:
			fleet.links.Sever(sides[0], sides[1])
			fleet.links.Sever(sides[1], sides[0])
		case 1:
			fleet.links.Heal()
		case 2:
			fleet.links.Sever(sides[0], sides[1]) // one direction only
		case 3:
			fleet.links.Heal()
			if i > 12 || finished {
				continue
			}
			crashed := i / 4 % 5
			instancesMu.Lock()
			predecessor := fleet.instances[crashed]
			instancesMu.Unlock()
			predecessor.Close()
			restarted := fleet.startInstance(crashed, false, predecessor.options.Voters...)
			instancesMu.Lock()
			fleet.instances[crashed] = restarted
			instancesMu.Unlock()
		}
	}
	for keyName, periods := range sendPeriods {
		for i, a := range periods {
			for _, b := range periods[i+1:] {
				if a.zone != b.zone && a.from.Before(b.until) && b.from.Before(a.until) {
					t.Errorf("key %s: attempts may be sent to zone %s from %v and to zone %s from %v, and the periods overlap", keyName, a.zone, a.from, b.zone, b.from)
				}
			}
		}
	}
	t.Logf("claim results %v, attempts of %d keys may be sent", results, len(sendPeriods))
	if results[ownership.Claimed] < 50 || results[ownership.OwnedElsewhere] < 50 {
		t.Errorf("too few results for a meaningful test: got %v, want at least 50 claimed and 50 owned elsewhere", results)
	}
}

// An instance that announces its departure leaves the quota at once. A lost instance stays in the quota, because it may still
// run. After its restart it has a new incarnation, and its voter abstains until it has recovered from the other voters.
func TestDepartedMemberLeavesQuotaAndLostMemberStaysInIt(t *testing.T) {
	fleet := startTestFleet(t, 4, 3)
	fleet.instances[3].Leave(2 * time.Second)
	for _, f := range fleet.instances[:3] {
		lbtest.Until(t, "the departed instance is out of the quota", func() bool {
			quota := f.Quota()
			return quota.Instances == 3 && f.countMembers("left") == 1 && instanceName(quota.Index) == f.options.Name
		})
	}
	fleet.instances[2].Close()
	lbtest.Until(t, "the closed instance is seen as dead", func() bool { return fleet.instances[0].countMembers("dead") == 1 })
	if instances := fleet.instances[0].Quota().Instances; instances != 3 {
		t.Errorf("quota among %d instances, want 3: the lost instance may still run", instances)
	}
	restarted := fleet.startInstance(2, false, fleet.instances[2].options.Voters...)
	lbtest.Until(t, "the restarted instance is alive again", func() bool {
		return fleet.instances[0].countMembers("alive") == 3 && restarted.countMembers("alive") == 3
	})
	if restarted.process == fleet.instances[2].process {
		t.Error("the restarted instance has the incarnation of its predecessor")
	}
	if _, abstainsFor, isVoter := restarted.VoterKeyState(idempotency.KeyID{}, lbpolicy.ScopeAll); !isVoter || abstainsFor == 0 {
		t.Error("the restarted instance is no voter, or its voter does not abstain")
	}
	lbtest.Until(t, "the restarted voter no longer abstains", func() bool {
		_, abstainsFor, _ := restarted.VoterKeyState(idempotency.KeyID{}, lbpolicy.ScopeAll)
		return abstainsFor == 0
	})
}

// A restarted voter recovers the keys that it had granted from the snapshots of the other voters. It then votes again, long
// before KeyRetention (one hour here) would end its abstention.
func TestRestartedVoterRecoversKeysFromSnapshots(t *testing.T) {
	fleet := &testFleet{t: t, links: lbtest.NewLinks(), changeOptions: func(o *Options) { o.KeyRetention = time.Hour }}
	t.Cleanup(fleet.links.Close)
	for i := range 3 {
		fleet.instances = append(fleet.instances, fleet.startInstance(i, true, instanceName(0), instanceName(1), instanceName(2)))
	}
	fleet.awaitMembers(3)
	const keyCount = 3*maxPartKeys + 7
	for i := range keyCount {
		proposal := fleet.instances[0].newProposal(fmt.Sprint("k", i), "north")
		proposal.Window, proposal.Retention = time.Minute, time.Minute
		if state, _ := fleet.instances[0].ClaimKey(t.Context(), proposal); state != ownership.Claimed {
			t.Fatal(state)
		}
		fleet.instances[0].Release(ownership.Release{Claim: proposal.Claim})
	}
	predecessor := fleet.instances[1]
	predecessor.Close()
	fleet.links.Slow(400 * time.Millisecond) // for each stream, so that a snapshot of several parts takes longer than recoveryInterval
	fleet.instances[1] = fleet.startInstance(1, false, predecessor.options.Voters...)
	lbtest.Until(t, "the voter recovers from snapshots", func() bool {
		_, abstainsFor, _ := fleet.instances[1].VoterKeyState(idempotency.KeyID{}, lbpolicy.ScopeAll)
		return abstainsFor == 0
	})
	for i := range keyCount {
		if keyState, _, _ := fleet.instances[1].VoterKeyState(idempotency.KeyIDOf("", fmt.Sprint("k", i)), lbpolicy.ScopeZone); !keyState.Known || keyState.Place.Zone != "north" {
			t.Fatalf("key %d not recovered: got %+v, want a known key in zone north", i, keyState)
		}
	}
}

// An instance with a wrong encryption key or another fleet's name cannot join. Garbage packets and replayed packets change
// neither the members nor the owner of a key.
func TestForeignPacketsAreRejected(t *testing.T) {
	fleet := startTestFleet(t, 3, 3)
	for _, change := range []func(*Options){
		func(o *Options) { o.Keyring = [][]byte{bytes.Repeat([]byte{8}, 32)} },
		func(o *Options) { o.FleetName = "other" },
	} {
		fleet.changeOptions = change
		foreign := fleet.startInstance(9, true)
		if _, err := foreign.memberlist.Join([]string{fleet.instances[0].options.Listen}); err == nil {
			t.Error("a foreign instance has joined the fleet")
		}
		if n := foreign.countMembers("alive"); n != 1 {
			t.Errorf("a foreign instance sees %d alive members, want only itself", n)
		}
		foreign.Close()
	}
	conn, err := net.Dial("udp", fleet.instances[0].options.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	random := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		garbage := make([]byte, 1+random.IntN(900))
		for i := range garbage {
			garbage[i] = byte(random.Uint32())
		}
		conn.Write(garbage)
	}
	proposal := fleet.instances[1].newProposal("k", "north")
	if state, _ := fleet.instances[1].ClaimKey(t.Context(), proposal); state != ownership.Claimed {
		t.Errorf("claim after garbage packets: got %v, want claimed", state)
	}
	// Replays a release and a proposal in the name of instance 1.
	encoded, err := encode(&packet{From: instanceName(1), Items: []item{{Release: &ownership.Release{Claim: proposal.Claim}}, {Proposal: &proposal}}})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		fleet.instances[0].handlePacket(encoded)
		fleet.instances[2].handlePacket(encoded)
	}
	otherProposal := fleet.instances[2].newProposal("k", "south")
	if state, keyState := fleet.instances[2].ClaimKey(t.Context(), otherProposal); state != ownership.OwnedElsewhere || keyState.Place.Zone != "north" {
		t.Errorf("claim after replayed packets: got %v %+v, want a key owned by zone north", state, keyState)
	}
	for _, f := range fleet.instances {
		if f.countMembers("alive") != 3 {
			t.Errorf("%s has members %v, want 3 alive ones", f.options.Name, f.Members())
		}
	}
}

// Lost members make room for new members in a full member table. A peer that announces more than MaxMembers members, all of
// which exist, cannot grow the table beyond the limit, and keys can still be claimed.
func TestMemberTableStaysWithinMaxMembers(t *testing.T) {
	fleet := startTestFleet(t, 3, 3)
	f := fleet.instances[1]
	for i := range 100 {
		n := &memberlist.Node{Name: fmt.Sprint("passing ", i), Addr: net.IPv4(127, 0, 0, 1)}
		if (delegate{f}).NotifyAlive(n) == nil {
			f.updateMember(n, partition.Alive)
			f.updateMember(n, partition.Dead)
		}
	}
	members := f.Members()
	hasMember := func(name string) bool {
		return slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
	}
	if len(members) > f.options.MaxMembers || !hasMember(instanceName(0)) || !hasMember("passing 99") {
		t.Errorf("%d members, or i0 or the newest member is missing: %v", len(members), members)
	}
	oversizedPeer := fleet.startOversizedPeer(40)
	oversizedPeer.Join([]string{fleet.instances[0].options.Listen})
	for i := range 20 {
		f := fleet.instances[i%3]
		// On a busy machine, voters may respond too late to a proposal. A further proposal for the same place is granted as well.
		lbtest.Until(t, fmt.Sprintf("key %d is claimed", i), func() bool {
			state, _ := f.ClaimKey(t.Context(), f.newProposal(fmt.Sprint(i), "north"))
			return state == ownership.Claimed
		})
		if n := len(f.Members()); n > f.options.MaxMembers {
			t.Errorf("%d members, want at most %d", n, f.options.MaxMembers)
		}
	}
}

// startOversizedPeer starts a peer that knows n other members. The peer and these members have the fleet's key and label, and
// count as one instance for the links.
func (fleet *testFleet) startOversizedPeer(n int) *memberlist.Memberlist {
	fleet.t.Helper()
	newPeer := func(name string) *memberlist.Memberlist {
		transport, _ := fleet.openTransport(7)
		config := memberlist.DefaultLocalConfig()
		config.Name, config.Label, config.SecretKey, config.Transport = name, fmt.Sprintf("silvertrail/%d/test", protocolVersion), encryptionKey, transport
		config.LogOutput = io.Discard
		list, err := memberlist.Create(config)
		if err != nil {
			fleet.t.Fatal(err)
		}
		fleet.t.Cleanup(func() { list.Shutdown() })
		return list
	}
	oversizedPeer := newPeer("boaster")
	for i := range n {
		other := newPeer(fmt.Sprint("other ", i))
		if _, err := other.Join([]string{oversizedPeer.LocalNode().Address()}); err != nil {
			fleet.t.Fatal(err)
		}
	}
	return oversizedPeer
}

// The encryption key of a running fleet is replaced in three steps, each at one instance after the other. Keys can be claimed all
// the time. An instance with the old encryption key then reaches no other instance. Invalid changes of the voters and the
// keyring are rejected.
func TestKeysAreClaimedDuringKeyRotation(t *testing.T) {
	fleet := startTestFleet(t, 3, 3)
	newKey := bytes.Repeat([]byte{9}, 32)
	for step, keyring := range [][][]byte{{encryptionKey, newKey}, {newKey, encryptionKey}, {newKey}} {
		for i, f := range fleet.instances {
			if err := f.RotateKeys(keyring); err != nil {
				t.Fatal(err)
			}
			proposal := f.newProposal(fmt.Sprint(step, "-", i), "north")
			if state, _ := f.ClaimKey(t.Context(), proposal); state != ownership.Claimed {
				t.Errorf("step %d, claim through instance %d: got %v, want claimed", step, i, state)
			}
		}
	}
	if err := fleet.instances[0].RotateKeys([][]byte{encryptionKey}); err != nil {
		t.Fatal(err)
	}
	if state, _ := fleet.instances[0].ClaimKey(t.Context(), fleet.instances[0].newProposal("old", "north")); state != ownership.Unknown {
		t.Errorf("claim with the old encryption key: got %v, want unknown", state)
	}
	if err := fleet.instances[1].ReconfigureVoters([]string{instanceName(0), instanceName(1), "i9"}); err == nil {
		t.Error("voters accepted though a majority of them may share no voter with a majority of the current voters")
	}
	if err := fleet.instances[1].Update(Options{Voters: []string{instanceName(0), instanceName(1), instanceName(2), "i3"}, Keyring: [][]byte{{1}}}); err == nil || len(fleet.instances[1].voterNames()) != 3 {
		t.Errorf("update with an invalid encryption key: got error %v and voters %q, want an error and 3 voters", err, fleet.instances[1].voterNames())
	}
	if err := fleet.instances[1].ReconfigureVoters([]string{instanceName(0), instanceName(1), instanceName(2), "i3"}); err != nil {
		t.Error(err)
	}
	if err := fleet.instances[1].ReconfigureVoters([]string{instanceName(0), instanceName(1), instanceName(2)}); err == nil {
		t.Error("second change of the voters accepted before KeyRetention has passed")
	}
}

// decode returns either an error or a packet that can be encoded again. It never panics.
func FuzzDecode(f *testing.F) {
	proposal := ownership.Proposal{TTL: 1}
	for _, p := range []packet{{From: "a", Items: []item{{Proposal: &proposal}, {SnapshotRequest: 7}}},
		{From: "b", Items: []item{{SnapshotPart: &snapshotPart{Parts: 1, Keys: []ownership.KeyState{{}}}}, {Release: &ownership.Release{}}, {Response: &ownership.Response{}}}}} {
		encoded, err := encode(&p)
		if err != nil {
			f.Fatal(err)
		}
		if _, err := decode(encoded); err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		p, err := decode(encoded)
		if (p == nil) == (err == nil) {
			t.Fatal("decode returned both or neither of a packet and an error")
		}
		if err == nil {
			if _, err := encode(p); err != nil {
				t.Fatal(err)
			}
		}
	})
}
