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

// shelf is a catalog of endpoint sets.
type shelf map[string]ResourceVersion

func (c shelf) Find(k Kind, name string) (ResourceVersion, bool) {
	o, ok := c[name]
	return o, ok && k == Sets
}

func (c shelf) All(k Kind) iter.Seq2[string, ResourceVersion] {
	return func(yield func(string, ResourceVersion) bool) {
		for n, o := range c {
			if k == Sets && !yield(n, o) {
				return
			}
		}
	}
}

// world is a control machine and what it has published.
type world struct {
	shelf   shelf
	d       *Distributor
	now     time.Time
	counter uint64
}

var rules = Limits{BytesPerSecond: 1000, MaxResponseBytes: 300, KeepaliveDelay: 2 * time.Second, MaxNames: 100}

func newWorld() *world {
	w := &world{shelf: shelf{}, now: time.Unix(0, 0)}
	w.restart()
	return w
}

// restart has the machine begin anew with what it has published.
func (w *world) restart() {
	w.d = New(w.now, rules, w.shelf)
	w.d.Open()
}

func (w *world) publish(name string, size int, removed bool) {
	w.counter++
	w.shelf[name] = ResourceVersion{records.Version{Counter: w.counter, Origin: "m"}, size, removed}
	w.d.Changed(records.Key{Kind: ads.Endpoints, Name: name})
}

// receiver is the other end of a stream.
type receiver struct {
	t       rapid.TB
	w       *world
	s       *Subscriber
	names   map[string]bool
	all     bool
	has     map[string]ResourceVersion
	bad     map[string]records.Version // what it can't use
	begun   bool
	nonce   string // of the response that it has and has not answered
	fault   string
	bytes   int
	signs   int
	refused int
}

func (r *receiver) connect() {
	r.s, r.begun, r.nonce = r.w.d.Join("r", false), false, ""
	r.subscribe(slices.Sorted(maps.Keys(r.names)), nil)
}

func (r *receiver) subscribe(add, drop []string) {
	q := Request{Kind: Sets, Subscribe: add, Unsubscribe: drop}
	if !r.begun {
		if !r.all && len(add) == 0 {
			return
		}
		q.InitialVersions = map[string]string{}
		for n, o := range r.has {
			q.InitialVersions[n] = o.Version.String()
		}
	}
	r.begun = true
	if err := r.w.d.HandleRequest(r.w.now, r.s, q); err != nil {
		r.t.Fatal(err)
	}
}

// receive takes a response, if there is one, and tells whether there was.
func (r *receiver) receive() bool {
	m, ok := r.w.d.Next(r.w.now, r.s)
	if !ok {
		return false
	}
	if r.nonce != "" {
		r.t.Fatal("two responses are in flight")
	}
	r.nonce, r.fault = m.Nonce, ""
	r.bytes += m.Bytes
	if len(m.Names)+len(m.Removed) == 0 {
		r.signs++
	}
	if len(m.Names)+len(m.Removed) > 1 && m.Bytes > rules.MaxResponseBytes {
		r.t.Fatalf("a response of %d bytes", m.Bytes)
	}
	for _, n := range append(slices.Clone(m.Names), m.Removed...) {
		o := r.w.shelf[n]
		if !r.names[n] && !r.all {
			r.t.Fatalf("%s was not asked for", n)
		}
		if r.has[n].Version.Compare(o.Version) > 0 {
			r.t.Fatalf("%s goes back to %s", n, o.Version)
		}
		if r.bad[n] == o.Version {
			r.fault += n + " can't be used;"
			continue
		}
		r.has[n] = o
	}
	return true
}

func (r *receiver) answer() {
	if r.nonce != "" {
		if r.fault != "" {
			r.refused++
		}
		if err := r.w.d.HandleRequest(r.w.now, r.s, Request{Kind: Sets, Nonce: r.nonce, NackReason: r.fault}); err != nil {
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
		w := newWorld()
		names := []string{"a", "b", "c", "d", "e"}
		var rs []*receiver
		for i := range 4 {
			r := &receiver{t: t, w: w, names: map[string]bool{}, all: i == 3, has: map[string]ResourceVersion{}, bad: map[string]records.Version{}}
			if !r.all {
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
					r.bad[n] = w.shelf[n].Version
				}
			case 2, 3:
				r.receive()
			case 4, 5:
				r.answer()
			case 6:
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
				w.d.Step(w.now)
			case 7:
				if n := rapid.SampledFrom(names).Draw(t, "name"); !r.all && r.names[n] && len(r.names) > 1 {
					delete(r.names, n)
					delete(r.has, n)
					r.subscribe(nil, []string{n})
				} else if !r.all {
					r.names[n] = true
					delete(r.has, n)
					r.subscribe([]string{n}, nil)
				}
			case 8:
				w.d.Leave(r.s)
				if rapid.Bool().Draw(t, "anew") {
					clear(r.has)
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
			w.d.Step(w.now)
			for _, r := range rs {
				r.answer()
				r.receive()
			}
		}
		report := w.d.Report(100)
		by, lags := report.Statuses, report.Lags
		behind := 0
		for _, r := range rs {
			for n, o := range w.shelf {
				is, has := r.has[n]
				switch {
				case !r.all && !r.names[n] || r.bad[n] == o.Version || is.Version == o.Version || r.all && o.Removed && !has:
				default:
					t.Errorf("%s is at %s, not at %s", n, is.Version, o.Version)
				}
			}
			if st := by[r.s]; st.Behind != st.Rejected || st.InFlight || st.Waiting {
				t.Errorf("%+v", st)
			}
			behind += by[r.s].Behind
		}
		if (behind > 0) != (len(lags) > 0) {
			t.Errorf("%d behind, told are %v", behind, lags)
		}
	})
}

// All come back at once, with nothing: what they are sent of first states keeps to the pace, in the order in which they came, a change
// goes out to them and past them at once, and all have a sign of life before they would give up.
func TestInitialStatesAreLimited(t *testing.T) {
	w := newWorld()
	rng := rand.New(rand.NewPCG(43, 3))
	var rs []*receiver
	for i := range 50 {
		name := fmt.Sprint("n", i)
		w.publish(name, 100+rng.IntN(100), false)
		rs = append(rs, &receiver{t: t, w: w, names: map[string]bool{name: true}, has: map[string]ResourceVersion{}})
	}
	for _, r := range rs {
		r.connect()
	}
	fast := &receiver{t: t, w: w, names: map[string]bool{"news": true}, has: map[string]ResourceVersion{}}
	fast.connect()
	fast.receive()
	fast.answer()
	sent, last, missing := 0, -1, len(rs)
	for at := time.Duration(0); missing > 0; at += 100 * time.Millisecond {
		if at > time.Minute {
			t.Fatal("it never ends")
		}
		w.now = time.Unix(0, 0).Add(at)
		w.d.Step(w.now)
		missing = 0
		for i, r := range rs {
			was := len(r.has)
			for r.receive() {
				r.answer()
			}
			if len(r.has) > was {
				if i < last {
					t.Errorf("%d was sent its state before %d, which came later", last, i)
				}
				last = i
			}
			if len(r.has) == 0 {
				missing++
			}
			if at >= rules.KeepaliveDelay && r.signs == 0 && len(r.has) == 0 {
				t.Fatalf("%d has heard nothing after %v", i, at)
			}
		}
		total := 0
		for _, r := range rs {
			total += r.bytes
		}
		if most := float64(rules.BytesPerSecond)*at.Seconds() + float64(rules.MaxResponseBytes)*2; float64(total) > most {
			t.Fatalf("%d bytes after %v, over %v", total, at, most)
		}
		sent = total
		w.publish("news", 50, false)
		if fast.receive(); fast.has["news"] != w.shelf["news"] {
			t.Fatalf("a change waits behind %d first states", missing)
		}
		fast.answer()
	}
	if d := w.now.Sub(time.Unix(0, 0)).Seconds() - float64(sent)/float64(rules.BytesPerSecond); d > 1 {
		t.Errorf("the pace was not used: %v s too long", d)
	}
	if w.d.Waiting() != 0 || !w.d.NextStep().IsZero() {
		t.Errorf("%d wait", w.d.Waiting())
	}
}

// What a paused receiver costs does not grow with what changes, and it gets the newest state once.
func TestPaused(t *testing.T) {
	w := newWorld()
	r := &receiver{t: t, w: w, names: map[string]bool{"a": true, "b": true}, has: map[string]ResourceVersion{}}
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
	if before := r.bytes; !r.receive() || r.bytes != before+20 || r.has["a"] != w.shelf["a"] || r.has["b"] != w.shelf["b"] {
		t.Errorf("%d bytes, %v", r.bytes-before, r.has)
	}
}

// A response that is refused is sent again one resource at a time, once: then it is known which can't be used, until it changes.
func TestRejectedResponses(t *testing.T) {
	w := newWorld()
	r := &receiver{t: t, w: w, names: map[string]bool{"a": true, "b": true, "c": true}, has: map[string]ResourceVersion{}, bad: map[string]records.Version{}}
	for n := range r.names {
		w.publish(n, 10, false)
	}
	r.bad["b"] = w.shelf["b"].Version
	r.connect()
	responses := 0
	for r.receive() {
		responses++
		r.answer()
	}
	report := w.d.Report(10)
	lags, refused := report.Lags, report.Rejections
	if responses != 4 || len(refused) != 1 || refused[0].Name != "b" || !strings.Contains(refused[0].Reason, "b can't") || len(lags) != 1 || lags[0].Version != r.bad["b"] {
		t.Errorf("%d responses, %+v, %+v", responses, refused, lags)
	}
	w.publish("b", 10, false)
	if r.receive(); r.has["b"] != w.shelf["b"] {
		t.Error("the next version was not sent")
	}
	r.answer()
	if report := w.d.Report(10); len(report.Lags)+len(report.Rejections) > 0 {
		t.Errorf("%v, %v", report.Lags, report.Rejections)
	}
}

// Before a machine is open only other control machines are served; a receiver that is ahead of it is told nothing; nobody but a
// peer gets records.
func TestBeforeOpen(t *testing.T) {
	w := newWorld()
	w.publish("a", 10, false)
	w.d = New(w.now, rules, w.shelf)
	r := &receiver{t: t, w: w, names: map[string]bool{"a": true}, has: map[string]ResourceVersion{}}
	r.connect()
	if r.receive() {
		t.Error("served before it is open")
	}
	p := w.d.Join("p", true)
	if err := w.d.HandleRequest(w.now, p, Request{Kind: Records}); err != nil {
		t.Fatal(err)
	}
	if m, ok := w.d.Next(w.now, p); !ok || !m.Complete {
		t.Errorf("a peer is not served: %+v", m)
	}
	if err := w.d.HandleRequest(w.now, r.s, Request{Kind: Records}); err == nil {
		t.Error("records for a receiver")
	}
	w.d.Open()
	ahead := &receiver{t: t, w: w, names: map[string]bool{"a": true}, has: map[string]ResourceVersion{"a": {Version: records.Version{Counter: 9, Origin: "z"}}}}
	ahead.connect()
	if ahead.receive(); ahead.bytes > 0 || ahead.signs != 1 {
		t.Errorf("one that is ahead was sent %d bytes", ahead.bytes)
	}
	if by := w.d.Report(1).Statuses; by[ahead.s].Ahead != 1 || by[ahead.s].Behind != 0 {
		t.Errorf("one that is ahead: %+v", by[ahead.s])
	}
	if !r.receive() || r.has["a"] != w.shelf["a"] {
		t.Error("not served once it is open")
	}
}
