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

// fakeCatalog is a catalog of endpoint sets.
type fakeCatalog map[string]ResourceVersion

func (c fakeCatalog) Find(k Kind, name string) (ResourceVersion, bool) {
	o, ok := c[name]
	return o, ok && k == EndpointSets
}

func (c fakeCatalog) All(k Kind) iter.Seq2[string, ResourceVersion] {
	return func(yield func(string, ResourceVersion) bool) {
		for n, o := range c {
			if k == EndpointSets && !yield(n, o) {
				return
			}
		}
	}
}

// testServer is a control machine and what it has published.
type testServer struct {
	catalog     fakeCatalog
	distributor *Distributor
	now         time.Time
	counter     uint64
}

var testLimits = Limits{BytesPerSecond: 1000, MaxResponseBytes: 300, KeepaliveDelay: 2 * time.Second, MaxNames: 100}

func newTestServer() *testServer {
	w := &testServer{catalog: fakeCatalog{}, now: time.Unix(0, 0)}
	w.restart()
	return w
}

// restart has the machine begin anew with what it has published.
func (w *testServer) restart() {
	w.distributor = New(w.now, testLimits, w.catalog)
	w.distributor.Open()
}

func (w *testServer) publish(name string, size int, removed bool) {
	w.counter++
	w.catalog[name] = ResourceVersion{records.Version{Counter: w.counter, Origin: "m"}, size, removed}
	w.distributor.NotifyChange(records.Key{Kind: ads.Endpoints, Name: name})
}

// testSubscriber is the other end of a stream.
type testSubscriber struct {
	t              rapid.TB
	server         *testServer
	subscriber     *Subscriber
	names          map[string]bool
	wildcard       bool
	resources      map[string]ResourceVersion
	invalid        map[string]records.Version // what it can't use
	started        bool
	nonce          string // of the response that it has and has not answered
	nackReason     string
	receivedBytes  int
	emptyResponses int
	rejectedCount  int
}

func (r *testSubscriber) connect() {
	r.subscriber, r.started, r.nonce = r.server.distributor.Join("r", false), false, ""
	r.subscribe(slices.Sorted(maps.Keys(r.names)), nil)
}

func (r *testSubscriber) subscribe(add, drop []string) {
	q := Request{Kind: EndpointSets, Subscribe: add, Unsubscribe: drop}
	if !r.started {
		if !r.wildcard && len(add) == 0 {
			return
		}
		q.InitialVersions = map[string]string{}
		for n, o := range r.resources {
			q.InitialVersions[n] = o.Version.String()
		}
	}
	r.started = true
	if err := r.server.distributor.HandleRequest(r.server.now, r.subscriber, q); err != nil {
		r.t.Fatal(err)
	}
}

// receive takes a response, if there is one, and tells whether there was.
func (r *testSubscriber) receive() bool {
	m, ok := r.server.distributor.Next(r.server.now, r.subscriber)
	if !ok {
		return false
	}
	if r.nonce != "" {
		r.t.Fatal("two responses are in flight")
	}
	r.nonce, r.nackReason = m.Nonce, ""
	r.receivedBytes += m.Bytes
	if len(m.Names)+len(m.Removed) == 0 {
		r.emptyResponses++
	}
	if len(m.Names)+len(m.Removed) > 1 && m.Bytes > testLimits.MaxResponseBytes {
		r.t.Fatalf("a response of %d bytes", m.Bytes)
	}
	for _, n := range append(slices.Clone(m.Names), m.Removed...) {
		o := r.server.catalog[n]
		if !r.names[n] && !r.wildcard {
			r.t.Fatalf("%s was not asked for", n)
		}
		if r.resources[n].Version.Compare(o.Version) > 0 {
			r.t.Fatalf("%s goes back to %s", n, o.Version)
		}
		if r.invalid[n] == o.Version {
			r.nackReason += n + " can't be used;"
			continue
		}
		r.resources[n] = o
	}
	return true
}

func (r *testSubscriber) answer() {
	if r.nonce != "" {
		if r.nackReason != "" {
			r.rejectedCount++
		}
		if err := r.server.distributor.HandleRequest(r.server.now, r.subscriber, Request{Kind: EndpointSets, Nonce: r.nonce, NackReason: r.nackReason}); err != nil {
			r.t.Fatal(err)
		}
		r.nonce = ""
	}
}

// Receivers that are slow, are paused, break off, come back with what they have, or with nothing, and refuse some of what they
// are sent, while much is published and removed and the machine begins anew: none goes back, none is sent what it has not asked
// for, and in the end each has all of it, but what it can't use.
func TestSubscribersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestServer()
		names := []string{"a", "b", "c", "d", "e"}
		var rs []*testSubscriber
		for i := range 4 {
			r := &testSubscriber{t: t, server: w, names: map[string]bool{}, wildcard: i == 3, resources: map[string]ResourceVersion{}, invalid: map[string]records.Version{}}
			if !r.wildcard {
				for _, n := range rapid.SliceOfN(rapid.SampledFrom(names), 1, 4).Draw(t, "names") {
					r.names[n] = true
				}
			}
			r.connect()
			rs = append(rs, r)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			r := rapid.SampledFrom(rs).Draw(t, "receiver")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1:
				n := rapid.SampledFrom(names).Draw(t, "name")
				w.publish(n, rapid.IntRange(1, 400).Draw(t, "size"), rapid.IntRange(0, 4).Draw(t, "removed") == 0)
				if rapid.IntRange(0, 3).Draw(t, "bad") == 0 {
					r.invalid[n] = w.catalog[n].Version
				}
			case 2, 3:
				r.receive()
			case 4, 5:
				r.answer()
			case 6:
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
				w.distributor.Step(w.now)
			case 7:
				if n := rapid.SampledFrom(names).Draw(t, "name"); !r.wildcard && r.names[n] && len(r.names) > 1 {
					delete(r.names, n)
					delete(r.resources, n)
					r.subscribe(nil, []string{n})
				} else if !r.wildcard {
					r.names[n] = true
					delete(r.resources, n)
					r.subscribe([]string{n}, nil)
				}
			case 8:
				w.distributor.Leave(r.subscriber)
				if rapid.Bool().Draw(t, "anew") {
					clear(r.resources)
				}
				r.connect()
			case 9:
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					w.restart()
					for _, r := range rs {
						r.connect()
					}
				}
			}
		}
		for range 100 { // all of them at work
			w.now = w.now.Add(time.Second)
			w.distributor.Step(w.now)
			for _, r := range rs {
				r.answer()
				r.receive()
			}
		}
		report := w.distributor.Report(100)
		by, lags := report.Statuses, report.Lags
		behind := 0
		for _, r := range rs {
			for n, o := range w.catalog {
				is, has := r.resources[n]
				switch {
				case !r.wildcard && !r.names[n] || r.invalid[n] == o.Version || is.Version == o.Version || r.wildcard && o.Removed && !has:
				default:
					t.Errorf("%s is at %s, not at %s", n, is.Version, o.Version)
				}
			}
			if st := by[r.subscriber]; st.Behind != st.Rejected || st.InFlight || st.Waiting {
				t.Errorf("%+v", st)
			}
			behind += by[r.subscriber].Behind
		}
		if (behind > 0) != (len(lags) > 0) {
			t.Errorf("%d behind, told are %v", behind, lags)
		}
	})
}

// All come back at once, with nothing: what they are sent of first states keeps to the pace, in the order in which they came, a change
// goes out to them and past them at once, and all have a sign of life before they would give up.
func TestInitialStatesAreLimited(t *testing.T) {
	w := newTestServer()
	rng := rand.New(rand.NewPCG(43, 3))
	var rs []*testSubscriber
	for i := range 50 {
		name := fmt.Sprint("n", i)
		w.publish(name, 100+rng.IntN(100), false)
		rs = append(rs, &testSubscriber{t: t, server: w, names: map[string]bool{name: true}, resources: map[string]ResourceVersion{}})
	}
	for _, r := range rs {
		r.connect()
	}
	fast := &testSubscriber{t: t, server: w, names: map[string]bool{"news": true}, resources: map[string]ResourceVersion{}}
	fast.connect()
	fast.receive()
	fast.answer()
	sent, last, missing := 0, -1, len(rs)
	for at := time.Duration(0); missing > 0; at += 100 * time.Millisecond {
		if at > time.Minute {
			t.Fatal("it never ends")
		}
		w.now = time.Unix(0, 0).Add(at)
		w.distributor.Step(w.now)
		missing = 0
		for i, r := range rs {
			was := len(r.resources)
			for r.receive() {
				r.answer()
			}
			if len(r.resources) > was {
				if i < last {
					t.Errorf("%d was sent its state before %d, which came later", last, i)
				}
				last = i
			}
			if len(r.resources) == 0 {
				missing++
			}
			if at >= testLimits.KeepaliveDelay && r.emptyResponses == 0 && len(r.resources) == 0 {
				t.Fatalf("%d has heard nothing after %v", i, at)
			}
		}
		total := 0
		for _, r := range rs {
			total += r.receivedBytes
		}
		if most := float64(testLimits.BytesPerSecond)*at.Seconds() + float64(testLimits.MaxResponseBytes)*2; float64(total) > most {
			t.Fatalf("%d bytes after %v, over %v", total, at, most)
		}
		sent = total
		w.publish("news", 50, false)
		if fast.receive(); fast.resources["news"] != w.catalog["news"] {
			t.Fatalf("a change waits behind %d first states", missing)
		}
		fast.answer()
	}
	if d := w.now.Sub(time.Unix(0, 0)).Seconds() - float64(sent)/float64(testLimits.BytesPerSecond); d > 1 {
		t.Errorf("the pace was not used: %v s too long", d)
	}
	if w.distributor.WaitingCount() != 0 || !w.distributor.NextStep().IsZero() {
		t.Errorf("%d wait", w.distributor.WaitingCount())
	}
}

// What a paused receiver costs does not grow with what changes, and it gets the newest state once.
func TestPaused(t *testing.T) {
	w := newTestServer()
	r := &testSubscriber{t: t, server: w, names: map[string]bool{"a": true, "b": true}, resources: map[string]ResourceVersion{}}
	w.publish("a", 10, false)
	r.connect()
	r.receive()
	for range 1000 {
		w.publish("a", 10, false)
		w.publish("b", 10, false)
		if r.receive() {
			t.Fatal("sent before the one in flight was answered")
		}
	}
	r.answer()
	if before := r.receivedBytes; !r.receive() || r.receivedBytes != before+20 || r.resources["a"] != w.catalog["a"] || r.resources["b"] != w.catalog["b"] {
		t.Errorf("%d bytes, %v", r.receivedBytes-before, r.resources)
	}
}

// A response that is refused is sent again one resource at a time, once: then it is known which can't be used, until it changes.
func TestRejectedResponses(t *testing.T) {
	w := newTestServer()
	r := &testSubscriber{t: t, server: w, names: map[string]bool{"a": true, "b": true, "c": true}, resources: map[string]ResourceVersion{}, invalid: map[string]records.Version{}}
	for n := range r.names {
		w.publish(n, 10, false)
	}
	r.invalid["b"] = w.catalog["b"].Version
	r.connect()
	responses := 0
	for r.receive() {
		responses++
		r.answer()
	}
	report := w.distributor.Report(10)
	lags, refused := report.Lags, report.Rejections
	if responses != 4 || len(refused) != 1 || refused[0].Name != "b" || !strings.Contains(refused[0].Reason, "b can't") || len(lags) != 1 || lags[0].Version != r.invalid["b"] {
		t.Errorf("%d responses, %+v, %+v", responses, refused, lags)
	}
	w.publish("b", 10, false)
	if r.receive(); r.resources["b"] != w.catalog["b"] {
		t.Error("the next version was not sent")
	}
	r.answer()
	if report := w.distributor.Report(10); len(report.Lags)+len(report.Rejections) > 0 {
		t.Errorf("%v, %v", report.Lags, report.Rejections)
	}
}

// Before a machine is open only other control machines are served; a receiver that is ahead of it is told nothing; nobody but a
// peer gets records.
func TestBeforeOpen(t *testing.T) {
	w := newTestServer()
	w.publish("a", 10, false)
	w.distributor = New(w.now, testLimits, w.catalog)
	r := &testSubscriber{t: t, server: w, names: map[string]bool{"a": true}, resources: map[string]ResourceVersion{}}
	r.connect()
	if r.receive() {
		t.Error("served before it is open")
	}
	p := w.distributor.Join("p", true)
	if err := w.distributor.HandleRequest(w.now, p, Request{Kind: Records}); err != nil {
		t.Fatal(err)
	}
	if m, ok := w.distributor.Next(w.now, p); !ok || !m.Complete {
		t.Errorf("a peer is not served: %+v", m)
	}
	if err := w.distributor.HandleRequest(w.now, r.subscriber, Request{Kind: Records}); err == nil {
		t.Error("records for a receiver")
	}
	w.distributor.Open()
	ahead := &testSubscriber{t: t, server: w, names: map[string]bool{"a": true}, resources: map[string]ResourceVersion{"a": {Version: records.Version{Counter: 9, Origin: "z"}}}}
	ahead.connect()
	if ahead.receive(); ahead.receivedBytes > 0 || ahead.emptyResponses != 1 {
		t.Errorf("one that is ahead was sent %d bytes", ahead.receivedBytes)
	}
	if by := w.distributor.Report(1).Statuses; by[ahead.subscriber].Ahead != 1 || by[ahead.subscriber].Behind != 0 {
		t.Errorf("one that is ahead: %+v", by[ahead.subscriber])
	}
	if !r.receive() || r.resources["a"] != w.catalog["a"] {
		t.Error("not served once it is open")
	}
}
