package distribution

import (
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/internal/controlplane/records"
	"silvertrail/internal/xds/ads"
)

// fakeCatalog is a catalog that holds endpoint sets only.
type fakeCatalog map[string]ResourceVersion

func (c fakeCatalog) Find(k Kind, name string) (ResourceVersion, bool) {
	version, ok := c[name]
	return version, ok && k == EndpointSets
}

func (c fakeCatalog) All(k Kind) iter.Seq2[string, ResourceVersion] {
	return func(yield func(string, ResourceVersion) bool) {
		for name, version := range c {
			if k == EndpointSets && !yield(name, version) {
				return
			}
		}
	}
}

// testServer is a control-plane server with a simulated clock and a fake catalog.
type testServer struct {
	catalog     fakeCatalog
	distributor *Distributor
	now         time.Time
	counter     uint64
}

var testLimits = Limits{BytesPerSecond: 1000, MaxResponseBytes: 300, KeepaliveDelay: 2 * time.Second, MaxNames: 100}

func newTestServer() *testServer {
	server := &testServer{catalog: fakeCatalog{}, now: time.Unix(0, 0)}
	server.restart()
	return server
}

// restart replaces the distributor by a new one without subscribers. The catalog is kept.
func (server *testServer) restart() {
	server.distributor = New(server.now, testLimits, server.catalog)
	server.distributor.Open()
}

func (server *testServer) publish(name string, size int, removed bool) {
	server.counter++
	server.catalog[name] = ResourceVersion{records.Version{Counter: server.counter, Origin: "m"}, size, removed}
	server.distributor.NotifyChange(records.Key{Kind: ads.Endpoints, Name: name})
}

// testSubscriber is the client's end of a stream. It fails the test if a response breaks the protocol.
type testSubscriber struct {
	t              rapid.TB
	server         *testServer
	stream         *Subscriber
	names          map[string]bool
	wildcard       bool
	resources      map[string]ResourceVersion
	invalid        map[string]records.Version // versions that it rejects, by name
	started        bool
	nonce          string // of the response that it has received and not answered
	nackReason     string
	receivedBytes  int
	emptyResponses int
	rejectedCount  int
}

func (s *testSubscriber) connect() {
	s.stream, s.started, s.nonce = s.server.distributor.Join("r", false), false, ""
	s.subscribe(slices.Sorted(maps.Keys(s.names)), nil)
}

func (s *testSubscriber) subscribe(add, remove []string) {
	request := Request{Kind: EndpointSets, Subscribe: add, Unsubscribe: remove}
	if !s.started {
		if !s.wildcard && len(add) == 0 {
			return
		}
		request.InitialVersions = map[string]string{}
		for name, resource := range s.resources {
			request.InitialVersions[name] = resource.Version.String()
		}
	}
	s.started = true
	if err := s.server.distributor.HandleRequest(s.server.now, s.stream, request); err != nil {
		s.t.Fatal(err)
	}
}

// receive receives the next response, and reports whether there was one.
func (s *testSubscriber) receive() bool {
	response, ok := s.server.distributor.Next(s.server.now, s.stream)
	if !ok {
		return false
	}
	if s.nonce != "" {
		s.t.Fatal("received a second response while the first one was in flight")
	}
	s.nonce, s.nackReason = response.Nonce, ""
	s.receivedBytes += response.Bytes
	if len(response.Names)+len(response.Removed) == 0 {
		s.emptyResponses++
	}
	if len(response.Names)+len(response.Removed) > 1 && response.Bytes > testLimits.MaxResponseBytes {
		s.t.Fatalf("response with several resources has %d bytes, over MaxResponseBytes", response.Bytes)
	}
	for _, name := range append(slices.Clone(response.Names), response.Removed...) {
		current := s.server.catalog[name]
		if !s.names[name] && !s.wildcard {
			s.t.Fatalf("received %s without a subscription", name)
		}
		if s.resources[name].Version.Compare(current.Version) > 0 {
			s.t.Fatalf("%s goes back to older version %s", name, current.Version)
		}
		if s.invalid[name] == current.Version {
			s.nackReason += name + " can't be used;"
			continue
		}
		s.resources[name] = current
	}
	return true
}

// answer acknowledges or rejects the response in flight, if there is one.
func (s *testSubscriber) answer() {
	if s.nonce != "" {
		if s.nackReason != "" {
			s.rejectedCount++
		}
		if err := s.server.distributor.HandleRequest(s.server.now, s.stream, Request{Kind: EndpointSets, Nonce: s.nonce, NackReason: s.nackReason}); err != nil {
			s.t.Fatal(err)
		}
		s.nonce = ""
	}
}

// Subscribers are slow, pause, disconnect, reconnect with or without their state, and reject some resources. Meanwhile resources
// are published and removed, and the server restarts. No resource may go back to an older version, and none may be sent without a
// subscription. In the end, each subscriber has the newest version of all its resources except those that it rejects.
func TestSubscribersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := newTestServer()
		names := []string{"a", "b", "c", "d", "e"}
		var subscribers []*testSubscriber
		for i := range 4 {
			subscriber := &testSubscriber{t: t, server: server, names: map[string]bool{}, wildcard: i == 3, resources: map[string]ResourceVersion{}, invalid: map[string]records.Version{}}
			if !subscriber.wildcard {
				for _, name := range rapid.SliceOfN(rapid.SampledFrom(names), 1, 4).Draw(t, "names") {
					subscriber.names[name] = true
				}
			}
			subscriber.connect()
			subscribers = append(subscribers, subscriber)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			subscriber := rapid.SampledFrom(subscribers).Draw(t, "receiver")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1:
				name := rapid.SampledFrom(names).Draw(t, "name")
				server.publish(name, rapid.IntRange(1, 400).Draw(t, "size"), rapid.IntRange(0, 4).Draw(t, "removed") == 0)
				if rapid.IntRange(0, 3).Draw(t, "bad") == 0 {
					subscriber.invalid[name] = server.catalog[name].Version
				}
			case 2, 3:
				subscriber.receive()
			case 4, 5:
				subscriber.answer()
			case 6:
				server.now = server.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
				server.distributor.Step(server.now)
			case 7:
				if name := rapid.SampledFrom(names).Draw(t, "name"); !subscriber.wildcard && subscriber.names[name] && len(subscriber.names) > 1 {
					delete(subscriber.names, name)
					delete(subscriber.resources, name)
					subscriber.subscribe(nil, []string{name})
				} else if !subscriber.wildcard {
					subscriber.names[name] = true
					delete(subscriber.resources, name)
					subscriber.subscribe([]string{name}, nil)
				}
			case 8:
				server.distributor.Leave(subscriber.stream)
				if rapid.Bool().Draw(t, "anew") {
					clear(subscriber.resources)
				}
				subscriber.connect()
			case 9:
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					server.restart()
					for _, subscriber := range subscribers {
						subscriber.connect()
					}
				}
			}
		}
		for range 100 { // all subscribers are responsive
			server.now = server.now.Add(time.Second)
			server.distributor.Step(server.now)
			for _, subscriber := range subscribers {
				subscriber.answer()
				subscriber.receive()
			}
		}
		report := server.distributor.Report(100)
		statuses, lags := report.Statuses, report.Lags
		behind := 0
		for _, subscriber := range subscribers {
			for name, current := range server.catalog {
				received, known := subscriber.resources[name]
				switch {
				case !subscriber.wildcard && !subscriber.names[name] || subscriber.invalid[name] == current.Version || received.Version == current.Version || subscriber.wildcard && current.Removed && !known:
				default:
					t.Errorf("%s has version %s, want %s", name, received.Version, current.Version)
				}
			}
			if status := statuses[subscriber.stream]; status.Behind != status.Rejected || status.InFlight || status.Waiting {
				t.Errorf("status %+v, want all resources acknowledged or rejected, nothing in flight and nothing queued", status)
			}
			behind += statuses[subscriber.stream].Behind
		}
		if (behind > 0) != (len(lags) > 0) {
			t.Errorf("subscribers are behind in %d resources, but the reported lags are %v", behind, lags)
		}
	})
}

// All subscribers reconnect at once, without any state. Initial states may not exceed the byte rate, and are sent in order of
// arrival. A change is sent at once, whatever is queued. Each waiting subscriber is sent a keepalive by KeepaliveDelay, before it
// would consider the server failed.
func TestInitialStatesAreRateLimited(t *testing.T) {
	server := newTestServer()
	rng := rand.New(rand.NewPCG(43, 3))
	var subscribers []*testSubscriber
	for i := range 50 {
		name := fmt.Sprint("n", i)
		server.publish(name, 100+rng.IntN(100), false)
		subscribers = append(subscribers, &testSubscriber{t: t, server: server, names: map[string]bool{name: true}, resources: map[string]ResourceVersion{}})
	}
	for _, subscriber := range subscribers {
		subscriber.connect()
	}
	upToDate := &testSubscriber{t: t, server: server, names: map[string]bool{"news": true}, resources: map[string]ResourceVersion{}}
	upToDate.connect()
	upToDate.receive()
	upToDate.answer()
	sent, last, missing := 0, -1, len(subscribers)
	for elapsed := time.Duration(0); missing > 0; elapsed += 100 * time.Millisecond {
		if elapsed > time.Minute {
			t.Fatal("not all initial states were sent within one minute")
		}
		server.now = time.Unix(0, 0).Add(elapsed)
		server.distributor.Step(server.now)
		missing = 0
		for i, subscriber := range subscribers {
			before := len(subscriber.resources)
			for subscriber.receive() {
				subscriber.answer()
			}
			if len(subscriber.resources) > before {
				if i < last {
					t.Errorf("subscriber %d was sent its initial state before subscriber %d, which was queued earlier", last, i)
				}
				last = i
			}
			if len(subscriber.resources) == 0 {
				missing++
			}
			if elapsed >= testLimits.KeepaliveDelay && subscriber.emptyResponses == 0 && len(subscriber.resources) == 0 {
				t.Fatalf("waiting subscriber %d was sent no keepalive within %v", i, elapsed)
			}
		}
		total := 0
		for _, subscriber := range subscribers {
			total += subscriber.receivedBytes
		}
		if limit := float64(testLimits.BytesPerSecond)*elapsed.Seconds() + float64(testLimits.MaxResponseBytes)*2; float64(total) > limit {
			t.Fatalf("%d bytes were sent within %v, over the limit of %v", total, elapsed, limit)
		}
		sent = total
		server.publish("news", 50, false)
		if upToDate.receive(); upToDate.resources["news"] != server.catalog["news"] {
			t.Fatalf("a change was not sent at once while %d initial states were pending", missing)
		}
		upToDate.answer()
	}
	if excess := server.now.Sub(time.Unix(0, 0)).Seconds() - float64(sent)/float64(testLimits.BytesPerSecond); excess > 1 {
		t.Errorf("sending the initial states took %v s longer than the byte rate requires", excess)
	}
	if server.distributor.WaitingCount() != 0 || !server.distributor.NextStep().IsZero() {
		t.Errorf("%d subscribers are still queued", server.distributor.WaitingCount())
	}
}

// The cost of a paused subscriber may not grow with the number of changes: only one response is in flight, and after the pause the
// subscriber gets the newest state once.
func TestPausedSubscriberReceivesNewestStateOnce(t *testing.T) {
	server := newTestServer()
	subscriber := &testSubscriber{t: t, server: server, names: map[string]bool{"a": true, "b": true}, resources: map[string]ResourceVersion{}}
	server.publish("a", 10, false)
	subscriber.connect()
	subscriber.receive()
	for range 1000 {
		server.publish("a", 10, false)
		server.publish("b", 10, false)
		if subscriber.receive() {
			t.Fatal("a second response was sent before the response in flight was answered")
		}
	}
	subscriber.answer()
	if before := subscriber.receivedBytes; !subscriber.receive() || subscriber.receivedBytes != before+20 || subscriber.resources["a"] != server.catalog["a"] || subscriber.resources["b"] != server.catalog["b"] {
		t.Errorf("received %d bytes after the pause, resources %v; want the newest version of both resources once", subscriber.receivedBytes-before, subscriber.resources)
	}
}

// The resources of a rejected response are sent again once, one in each response. This shows which resource is invalid. That one is
// reported, and not sent again until it changes.
func TestRejectedResponseIsResentOneByOne(t *testing.T) {
	server := newTestServer()
	subscriber := &testSubscriber{t: t, server: server, names: map[string]bool{"a": true, "b": true, "c": true}, resources: map[string]ResourceVersion{}, invalid: map[string]records.Version{}}
	for name := range subscriber.names {
		server.publish(name, 10, false)
	}
	subscriber.invalid["b"] = server.catalog["b"].Version
	subscriber.connect()
	responses := 0
	for subscriber.receive() {
		responses++
		subscriber.answer()
	}
	report := server.distributor.Report(10)
	lags, rejections := report.Lags, report.Rejections
	if responses != 4 || len(rejections) != 1 || rejections[0].Name != "b" || !strings.Contains(rejections[0].Reason, "b can't") || len(lags) != 1 || lags[0].Version != subscriber.invalid["b"] {
		t.Errorf("%d responses, want 4; rejections %+v and lags %+v, want only the invalid version of b", responses, rejections, lags)
	}
	server.publish("b", 10, false)
	if subscriber.receive(); subscriber.resources["b"] != server.catalog["b"] {
		t.Error("the version after the rejected one was not sent")
	}
	subscriber.answer()
	if report := server.distributor.Report(10); len(report.Lags)+len(report.Rejections) > 0 {
		t.Errorf("reported lags %v and rejections %v, want none", report.Lags, report.Rejections)
	}
}

// Until the distributor is open, it serves other control-plane servers only. Records are sent to peers only. A subscriber that has a
// newer version than the server is sent no resource.
func TestOnlyPeersAreServedBeforeOpen(t *testing.T) {
	server := newTestServer()
	server.publish("a", 10, false)
	server.distributor = New(server.now, testLimits, server.catalog)
	subscriber := &testSubscriber{t: t, server: server, names: map[string]bool{"a": true}, resources: map[string]ResourceVersion{}}
	subscriber.connect()
	if subscriber.receive() {
		t.Error("a sidecar was served before the distributor was open")
	}
	peer := server.distributor.Join("p", true)
	if err := server.distributor.HandleRequest(server.now, peer, Request{Kind: Records}); err != nil {
		t.Fatal(err)
	}
	if response, ok := server.distributor.Next(server.now, peer); !ok || !response.Complete {
		t.Errorf("response to a peer before the distributor is open: %+v, want a complete one", response)
	}
	if err := server.distributor.HandleRequest(server.now, subscriber.stream, Request{Kind: Records}); err == nil {
		t.Error("a sidecar could subscribe to records")
	}
	server.distributor.Open()
	ahead := &testSubscriber{t: t, server: server, names: map[string]bool{"a": true}, resources: map[string]ResourceVersion{"a": {Version: records.Version{Counter: 9, Origin: "z"}}}}
	ahead.connect()
	if ahead.receive(); ahead.receivedBytes > 0 || ahead.emptyResponses != 1 {
		t.Errorf("a subscriber with a newer version was sent %d bytes, want one empty response", ahead.receivedBytes)
	}
	if statuses := server.distributor.Report(1).Statuses; statuses[ahead.stream].Ahead != 1 || statuses[ahead.stream].Behind != 0 {
		t.Errorf("status of a subscriber with a newer version: %+v, want 1 ahead and 0 behind", statuses[ahead.stream])
	}
	if !subscriber.receive() || subscriber.resources["a"] != server.catalog["a"] {
		t.Error("a sidecar was not served after the distributor was opened")
	}
}
