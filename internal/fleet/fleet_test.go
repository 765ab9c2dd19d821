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

// A probe of memberlist's that is under way when it ends runs out its own time.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/hashicorp/memberlist.(*Memberlist).probeNode"))
}

// testFleet is a fleet in one process.
type testFleet struct {
	t             *testing.T
	links         *lbtest.Links
	instances     []*Fleet
	changeOptions func(*Options)
}

var encryptionKey = bytes.Repeat([]byte{7}, 32)

func instanceName(i int) string { return fmt.Sprint("i", i) }

// openTransport opens an instance's openTransport behind the links.
func (c *testFleet) openTransport(i int) (memberlist.NodeAwareTransport, string) {
	c.t.Helper()
	t, err := Listen("127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	return c.links.Wrap(i, t, t.Addr()), t.Addr()
}

func (c *testFleet) startInstance(i int, fresh bool, voters ...string) *Fleet {
	c.t.Helper()
	tr, addr := c.openTransport(i)
	o := Options{FleetName: "test", Name: instanceName(i), Listen: addr, Keyring: [][]byte{encryptionKey}, Voters: voters, MaxMembers: 32, MaxKeys: 1 << 14, NewFleet: fresh,
		MaxDeadline: 600 * time.Millisecond, KeyRetention: 3 * time.Second, ProbeInterval: 100 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		Transport: tr}
	for _, f := range c.instances {
		if f != nil && f.options.Name != o.Name {
			o.Seeds = append(o.Seeds, f.options.Listen)
		}
	}
	if c.changeOptions != nil {
		c.changeOptions(&o)
	}
	f, err := Start(o)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(f.Close)
	return f
}

// startTestFleet starts n instances, the first of which vote, and waits until each sees all.
func startTestFleet(t *testing.T, n, voters int) *testFleet {
	t.Helper()
	c := &testFleet{t: t, links: lbtest.NewLinks()}
	t.Cleanup(c.links.Close)
	var names []string
	for i := range voters {
		names = append(names, instanceName(i))
	}
	for i := range n {
		c.instances = append(c.instances, c.startInstance(i, true, names...))
	}
	c.awaitMembers(n)
	return c
}

func (c *testFleet) awaitMembers(n int) {
	c.t.Helper()
	for _, f := range c.instances {
		lbtest.Until(c.t, fmt.Sprintf("%s sees %d", f.options.Name, n), func() bool {
			got := f.Quota().Instances
			return got == n && f.countMembers("alive") == n
		})
	}
}

func (f *Fleet) countMembers(state string) (n int) {
	for _, m := range f.Members() {
		if m.State == state {
			n++
		}
	}
	return n
}

// proposalTTL is how long a test's proposal may be answered.
const proposalTTL = 600 * time.Millisecond

func (f *Fleet) newProposal(key string, zone string) ownership.Proposal {
	return ownership.Proposal{Attempt: f.NextAttemptID(), Key: idempotency.KeyIDOf("", key), Place: idempotency.Place{Cluster: "c", Zone: zone}, Scope: lbpolicy.ScopeZone,
		Window: time.Second, Retention: time.Second, TTL: proposalTTL}
}

// A repeat through another instance learns where the first try went, whatever the way; what never ran is free again.
func TestClaimedKeyIsOwnedElsewhereUntilReleased(t *testing.T) {
	c := startTestFleet(t, 4, 3)
	for i := range 24 {
		first, second := c.instances[i%4], c.instances[(i+1+i/4%3)%4]
		k := fmt.Sprint("k", i)
		a := first.newProposal(k, "north")
		if state, past := first.ClaimKey(t.Context(), a); state != ownership.Claimed || !past.Known {
			t.Fatalf("%s: %v %+v", k, state, past)
		}
		b := second.newProposal(k, "south")
		if state, past := second.ClaimKey(t.Context(), b); state != ownership.OwnedElsewhere || past.Place.Zone != "north" {
			t.Errorf("%s by another way: %v %+v", k, state, past)
		}
		b.Round, b.Place.Zone = 1, "north"
		if state, _ := second.ClaimKey(t.Context(), b); state != ownership.Claimed {
			t.Errorf("%s in its group: %v", k, state)
		}
		first.Release(ownership.Release{Attempt: a.Attempt, NeverRan: true})
		second.Release(ownership.Release{Attempt: b.Attempt, NeverRan: true})
		lbtest.Until(t, "a key with which nothing ran is free", func() bool {
			state, _ := second.ClaimKey(t.Context(), second.newProposal(k, "south"))
			return state == ownership.Claimed
		})
	}
}

// Through cuts, one-way cuts, late, doubled and overtaken packets and instances that die and come back, callers ask for the
// same keys through all instances for one zone or the other: of what each instance may send at one time no key is in two
// zones.
func TestKeyHasOneZoneDuringPartitionsAndRestarts(t *testing.T) {
	c := startTestFleet(t, 5, 5)
	c.links.Distort()
	type bound struct {
		zone       string
		from, till time.Time
	}
	var mu sync.Mutex
	went := map[string][]bound{}
	counts := map[ownership.State]int{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	var instances sync.Mutex // of c.all
	const rounds = 40
	for caller := range 24 {
		callers.Go(func() {
			d := rand.New(rand.NewPCG(uint64(caller), 5))
			for i := range rounds {
				k := fmt.Sprintf("k-%d-%d", i, caller/6) // six callers for each key, at about the same time
				instances.Lock()
				f := c.instances[d.IntN(5)]
				instances.Unlock()
				zone := []string{"north", "south"}[d.IntN(2)]
				made := time.Now()
				a := f.newProposal(k, zone)
				state, past := f.ClaimKey(ctx, a)
				now := time.Now()
				sends := state == ownership.Claimed && now.Before(past.RetryUntil) && now.Before(made.Add(a.TTL))
				mu.Lock()
				counts[state]++
				if sends {
					went[k] = append(went[k], bound{zone, now, now.Add(a.Window + a.Retention)})
				}
				mu.Unlock()
				f.Release(ownership.Release{Attempt: a.Attempt, NeverRan: !sends})
			}
		})
	}
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	sets := [][2][]int{{{0, 1}, {2, 3, 4}}, {{4}, {0, 1, 2, 3}}, {{0, 1, 2}, {3, 4}}}
	for i, over := 0, false; !over; i++ {
		select {
		case <-done:
			over = true
		case <-time.After(150 * time.Millisecond):
		}
		s := sets[i%len(sets)]
		switch i % 4 {
		case 0:
			c.links.Sever(s[0], s[1])
			c.links.Sever(s[1], s[0])
		case 1:
			c.links.Heal()
		case 2:
			c.links.Sever(s[0], s[1]) // one way
		case 3:
			c.links.Heal()
			if i > 12 || over {
				continue
			}
			dies := i / 4 % 5
			instances.Lock()
			old := c.instances[dies]
			instances.Unlock()
			old.Close()
			fresh := c.startInstance(dies, false, old.options.Voters...)
			instances.Lock()
			c.instances[dies] = fresh
			instances.Unlock()
		}
	}
	for k, all := range went {
		for i, a := range all {
			for _, b := range all[i+1:] {
				if a.zone != b.zone && a.from.Before(b.till) && b.from.Before(a.till) {
					t.Errorf("%s went to %s at %v and to %s at %v", k, a.zone, a.from, b.zone, b.from)
				}
			}
		}
	}
	t.Logf("%v, %d keys went out", counts, len(went))
	if counts[ownership.Claimed] < 50 || counts[ownership.OwnedElsewhere] < 50 {
		t.Errorf("tests little: %v", counts)
	}
}

// An instance that leaves counts no more at once; one that is lost counts on, and is not taken for its former self when it
// comes back.
func TestDepartedMemberLeavesQuotaAndLostMemberStaysInIt(t *testing.T) {
	c := startTestFleet(t, 4, 3)
	c.instances[3].Leave(2 * time.Second)
	for _, f := range c.instances[:3] {
		lbtest.Until(t, "one has left", func() bool {
			quota := f.Quota()
			return quota.Instances == 3 && f.countMembers("left") == 1 && instanceName(quota.Index) == f.options.Name
		})
	}
	c.instances[2].Close()
	lbtest.Until(t, "one is lost", func() bool { return c.instances[0].countMembers("dead") == 1 })
	if n := c.instances[0].Quota().Instances; n != 3 {
		t.Errorf("%d share while it is not known whether the lost one is there", n)
	}
	back := c.startInstance(2, false, c.instances[2].options.Voters...)
	lbtest.Until(t, "it is back", func() bool { return c.instances[0].countMembers("alive") == 3 && back.countMembers("alive") == 3 })
	if back.process == c.instances[2].process {
		t.Error("the same process twice")
	}
	if _, silent, voter := back.VoterKeyState(idempotency.KeyID{}, lbpolicy.ScopeAll); !voter || silent == 0 {
		t.Error("a voter that was started anew votes at once")
	}
	lbtest.Until(t, "it has learnt from the others", func() bool {
		_, silent, _ := back.VoterKeyState(idempotency.KeyID{}, lbpolicy.ScopeAll)
		return silent == 0
	})
}

// A voter that was started anew learns what it had agreed to from the others, and holds to it, before its silence would be
// over by time.
func TestRestartedVoterRecoversKeysFromSnapshots(t *testing.T) {
	c := &testFleet{t: t, links: lbtest.NewLinks(), changeOptions: func(o *Options) { o.KeyRetention = time.Hour }}
	t.Cleanup(c.links.Close)
	for i := range 3 {
		c.instances = append(c.instances, c.startInstance(i, true, instanceName(0), instanceName(1), instanceName(2)))
	}
	c.awaitMembers(3)
	const n = 3*maxPartKeys + 7
	for i := range n {
		a := c.instances[0].newProposal(fmt.Sprint("k", i), "north")
		a.Window, a.Retention = time.Minute, time.Minute
		if state, _ := c.instances[0].ClaimKey(t.Context(), a); state != ownership.Claimed {
			t.Fatal(state)
		}
		c.instances[0].Release(ownership.Release{Attempt: a.Attempt})
	}
	old := c.instances[1]
	old.Close()
	c.links.Slow(400 * time.Millisecond) // a copy takes longer than the time between two asks for one
	c.instances[1] = c.startInstance(1, false, old.options.Voters...)
	lbtest.Until(t, "it speaks again", func() bool {
		_, silent, _ := c.instances[1].VoterKeyState(idempotency.KeyID{}, lbpolicy.ScopeAll)
		return silent == 0
	})
	for i := range n {
		if p, _, _ := c.instances[1].VoterKeyState(idempotency.KeyIDOf("", fmt.Sprint("k", i)), lbpolicy.ScopeZone); !p.Known || p.Place.Zone != "north" {
			t.Fatalf("key %d: %+v", i, p)
		}
	}
}

// Strangers get in nowhere: with a wrong key, another fleet's name, garbage, packets that are played again.
func TestForeignPacketsAreRejected(t *testing.T) {
	c := startTestFleet(t, 3, 3)
	for _, change := range []func(*Options){
		func(o *Options) { o.Keyring = [][]byte{bytes.Repeat([]byte{8}, 32)} },
		func(o *Options) { o.FleetName = "other" },
	} {
		c.changeOptions = change
		stranger := c.startInstance(9, true)
		if _, err := stranger.memberlist.Join([]string{c.instances[0].options.Listen}); err == nil {
			t.Error("a stranger has joined")
		}
		if n := stranger.countMembers("alive"); n != 1 {
			t.Errorf("a stranger sees %d members", n)
		}
		stranger.Close()
	}
	conn, err := net.Dial("udp", c.instances[0].options.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	d := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		text := make([]byte, 1+d.IntN(900))
		for i := range text {
			text[i] = byte(d.Uint32())
		}
		conn.Write(text)
	}
	a := c.instances[1].newProposal("k", "north")
	if state, _ := c.instances[1].ClaimKey(t.Context(), a); state != ownership.Claimed {
		t.Errorf("after garbage: %v", state)
	}
	// What was said once is said again, by whom it may be.
	text, err := encode(&packet{From: instanceName(1), Items: []item{{Release: &ownership.Release{Attempt: a.Attempt}}, {Proposal: &a}}})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		c.instances[0].handlePacket(text)
		c.instances[2].handlePacket(text)
	}
	b := c.instances[2].newProposal("k", "south")
	if state, past := c.instances[2].ClaimKey(t.Context(), b); state != ownership.OwnedElsewhere || past.Place.Zone != "north" {
		t.Errorf("after a replay: %v %+v", state, past)
	}
	for _, f := range c.instances {
		if f.countMembers("alive") != 3 {
			t.Errorf("%s sees %v", f.options.Name, f.Members())
		}
	}
}

// A member that tells of more members than there may be, all of them real here, fills no table over its bound, and keys are
// bound as before. Those that are lost make room for others.
func TestMemberTableStaysWithinMaxMembers(t *testing.T) {
	c := startTestFleet(t, 3, 3)
	f := c.instances[1]
	for i := range 100 {
		n := &memberlist.Node{Name: fmt.Sprint("passing ", i), Addr: net.IPv4(127, 0, 0, 1)}
		if (delegate{f}).NotifyAlive(n) == nil {
			f.updateMember(n, partition.Alive)
			f.updateMember(n, partition.Dead)
		}
	}
	all := f.Members()
	knows := func(name string) bool { return slices.ContainsFunc(all, func(m Member) bool { return m.Name == name }) }
	if len(all) > f.options.MaxMembers || !knows(instanceName(0)) || !knows("passing 99") {
		t.Errorf("%d members, or the wrong ones: %v", len(all), all)
	}
	boaster := c.startOversizedPeer(40)
	boaster.Join([]string{c.instances[0].options.Listen})
	for i := range 20 {
		f := c.instances[i%3]
		// On a busy machine voters may answer too late for one ask; a further one for the same place is agreed to as well.
		lbtest.Until(t, fmt.Sprintf("key %d is bound", i), func() bool {
			state, _ := f.ClaimKey(t.Context(), f.newProposal(fmt.Sprint(i), "north"))
			return state == ownership.Claimed
		})
		if n := len(f.Members()); n > f.options.MaxMembers {
			t.Errorf("%d members, over %d", n, f.options.MaxMembers)
		}
	}
}

// startOversizedPeer makes a peer with the fleet's own key and label that knows of many members: they are all at one address.
func (c *testFleet) startOversizedPeer(n int) *memberlist.Memberlist {
	c.t.Helper()
	newPeer := func(name string) *memberlist.Memberlist {
		tr, _ := c.openTransport(7)
		conf := memberlist.DefaultLocalConfig()
		conf.Name, conf.Label, conf.SecretKey, conf.Transport = name, fmt.Sprintf("silvertrail/%d/test", protocolVersion), encryptionKey, tr
		conf.LogOutput = io.Discard
		list, err := memberlist.Create(conf)
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(func() { list.Shutdown() })
		return list
	}
	boaster := newPeer("boaster")
	for i := range n {
		other := newPeer(fmt.Sprint("other ", i))
		if _, err := other.Join([]string{boaster.LocalNode().Address()}); err != nil {
			c.t.Fatal(err)
		}
	}
	return boaster
}

// A fleet's key is changed while it runs: each step at one instance after the other, keys bound all the time.
func TestKeysAreClaimedDuringKeyRotation(t *testing.T) {
	c := startTestFleet(t, 3, 3)
	next := bytes.Repeat([]byte{9}, 32)
	for step, ring := range [][][]byte{{encryptionKey, next}, {next, encryptionKey}, {next}} {
		for i, f := range c.instances {
			if err := f.RotateKeys(ring); err != nil {
				t.Fatal(err)
			}
			a := f.newProposal(fmt.Sprint(step, "-", i), "north")
			if state, _ := f.ClaimKey(t.Context(), a); state != ownership.Claimed {
				t.Errorf("step %d, instance %d: %v", step, i, state)
			}
		}
	}
	if err := c.instances[0].RotateKeys([][]byte{encryptionKey}); err != nil {
		t.Fatal(err)
	}
	if state, _ := c.instances[0].ClaimKey(t.Context(), c.instances[0].newProposal("old", "north")); state != ownership.Unknown {
		t.Errorf("with the old key: %v", state)
	}
	if err := c.instances[1].ReconfigureVoters([]string{instanceName(0), instanceName(1), "i9"}); err == nil {
		t.Error("voters whose majorities need not meet those before were taken")
	}
	if err := c.instances[1].Update(Options{Voters: []string{instanceName(0), instanceName(1), instanceName(2), "i3"}, Keyring: [][]byte{{1}}}); err == nil || len(c.instances[1].voterNames()) != 3 {
		t.Errorf("an unusable key: %v, and voters %q", err, c.instances[1].voterNames())
	}
	if err := c.instances[1].ReconfigureVoters([]string{instanceName(0), instanceName(1), instanceName(2), "i3"}); err != nil {
		t.Error(err)
	}
	if err := c.instances[1].ReconfigureVoters([]string{instanceName(0), instanceName(1), instanceName(2)}); err == nil {
		t.Error("voters were changed twice at once")
	}
}

// What is read from the net is in form, or an error; nothing panics.
func FuzzDecode(f *testing.F) {
	a := ownership.Proposal{TTL: 1}
	for _, p := range []packet{{From: "a", Items: []item{{Proposal: &a}, {SnapshotRequest: 7}}},
		{From: "b", Items: []item{{SnapshotPart: &snapshotPart{Parts: 1, Keys: []ownership.KeyState{{}}}}, {Release: &ownership.Release{}}, {Response: &ownership.Response{}}}}} {
		text, err := encode(&p)
		if err != nil {
			f.Fatal(err)
		}
		if _, err := decode(text); err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := decode(text)
		if (p == nil) == (err == nil) {
			t.Fatal("neither read nor refused")
		}
		if err == nil {
			if _, err := encode(p); err != nil {
				t.Fatal(err)
			}
		}
	})
}
