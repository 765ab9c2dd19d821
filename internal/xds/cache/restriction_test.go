package cache

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
)

// publication is a state of a control plane: the cluster "c" and endpoint sets. Nil stands for a resource that it has removed.
type publication struct {
	cluster *Cluster
	sets    map[string]*EndpointSet
}

// listed returns an endpoint set of one locality. An endpoint is given as its address, followed by its health unless it is healthy.
func listed(endpoints ...string) *EndpointSet {
	return &EndpointSet{Overprovisioning: 1.4, Localities: []Locality{localityOf(0, endpoints...)}}
}

func localityOf(priority int, endpoints ...string) Locality {
	locality := Locality{Priority: priority, Weight: 1, Zone: fmt.Sprint(priority)}
	for _, text := range endpoints {
		address, health, _ := strings.Cut(text, " ")
		e := Endpoint{Address: address, Weight: 1}
		for _, h := range []Health{Degraded, Draining, Unhealthy} {
			if health == h.String() {
				e.Health = h
			}
		}
		locality.Endpoints = append(locality.Endpoints, e)
	}
	return locality
}

func published(set *EndpointSet) publication {
	return publication{&Cluster{ServiceName: "s"}, map[string]*EndpointSet{"s": set}}
}

// planeClient is a cache that follows the cluster "c" of a control plane.
type planeClient struct {
	*testing.T
	cache  *Cache
	now    time.Time
	stream updateorder.Stream
	sent   map[string]Resource // by their raw form
}

func newPlaneClient(t *testing.T) *planeClient {
	t.Helper()
	p := &planeClient{T: t, now: time.Unix(1_800_000_000, 0), sent: map[string]Resource{}}
	p.start(SavedState{})
	return p
}

// start starts with a new cache that is restored from a saved state.
func (p *planeClient) start(saved SavedState) {
	p.cache = New(Options{DeferTime: deferTime, ResourceTimeout: time.Hour})
	for _, s := range saved.Resources {
		p.cache.Restore(s, p.sent[string(s.Raw)])
	}
	for _, history := range saved.Histories {
		var candidates []Resource
		for _, content := range history.Candidates {
			candidates = append(candidates, Resource{Name: history.Name})
			if len(content.Raw) > 0 {
				candidates[len(candidates)-1] = p.sent[string(content.Raw)]
			}
		}
		p.cache.RestoreHistory(history, candidates)
	}
	p.cache.SetClustersInUse(p.now, []string{"c"})
	p.stream = 0
	p.reconnect()
}

// restart ends the process, and starts it again with the state that it has saved.
func (p *planeClient) restart() { p.start(p.cache.Snapshot()) }

// reconnect ends the stream and starts another one.
func (p *planeClient) reconnect() {
	p.cache.StreamEnded(p.stream)
	p.stream++
	p.cache.StreamStarted(p.now, p.stream, "plane")
}

// receive has the stream send a state of the control plane, and returns what it must not acknowledge.
func (p *planeClient) receive(state publication) (withheld []string) {
	p.now = p.now.Add(time.Second)
	clusters := Response{Kind: ads.Clusters}
	if state.cluster == nil {
		clusters.Removed = []string{"c"}
	} else {
		clusters.Resources = []Resource{{Name: "c", Digest: digestOf(*state.cluster), Cluster: state.cluster}}
	}
	endpoints := Response{Kind: ads.Endpoints}
	for name, set := range state.sets {
		if set == nil {
			endpoints.Removed = append(endpoints.Removed, name)
			continue
		}
		endpoints.Resources = append(endpoints.Resources, Resource{Name: name, Digest: digestOf(*set), Set: set})
	}
	for _, response := range []Response{clusters, endpoints} {
		for i := range response.Resources {
			r := &response.Resources[i]
			r.Raw = append([]byte(r.Name), r.Digest[:]...)
			p.sent[string(r.Raw)] = *r
		}
		p.cache.Apply(p.now, p.stream, response)
		withheld = append(withheld, p.cache.Withheld(response)...)
	}
	return withheld
}

// digestOf returns a digest of a content.
func digestOf(content any) (d updateorder.Digest) {
	text := []byte(fmt.Sprintf("%+v", content))
	if c, ok := content.(Cluster); ok && c.Inline != nil {
		text = append(text, fmt.Sprintf("%+v", *c.Inline)...)
	}
	for i, b := range text {
		d[i%len(d)] = d[i%len(d)]*31 + b + byte(i)
	}
	return d
}

// uses checks which endpoints get traffic.
func (p *planeClient) uses(when string, want ...string) {
	p.Helper()
	if got := p.used(); !slices.Equal(got, want) {
		p.Errorf("%s: used are %v, want %v", when, got, want)
	}
}

// used returns the endpoints that get traffic.
func (p *planeClient) used() (out []string) {
	p.cache.Advance(p.now)
	view := p.cache.View(p.now, "c")
	if view.State != Ready {
		return nil
	}
	for _, e := range view.AssignTraffic(AllPriorities) {
		if e.Use == Used {
			out = append(out, e.Address)
		}
	}
	return out
}

// An endpoint leaves, comes back, and leaves again by the same content on a new stream or in a new process, in each of the ways in which it can
// leave. It must not be used then, nor when later streams or processes get the older state, until a stream has stood on it for the defer time.
func TestEndpointThatLeavesAgainIsNotUsed(t *testing.T) {
	weighted := func(weightOfB uint32) publication {
		return publication{&Cluster{ServiceName: "s", LocalityWeighted: true}, map[string]*EndpointSet{"s": {Overprovisioning: 1.4,
			Localities: []Locality{localityOf(0, "a"), {Zone: "z", Weight: weightOfB, Endpoints: localityOf(0, "b").Endpoints}}}}}
	}
	demoted := &EndpointSet{Overprovisioning: 1.4, Localities: []Locality{localityOf(0, "a"), localityOf(1, "b")}}
	panicking := func(set *EndpointSet) publication {
		return publication{&Cluster{ServiceName: "s", PanicThreshold: 0.5}, map[string]*EndpointSet{"s": set}}
	}
	inline := func(set *EndpointSet) publication { return publication{cluster: &Cluster{Inline: set}} }
	other := publication{&Cluster{ServiceName: "other"}, map[string]*EndpointSet{"s": listed("a", "b"), "other": listed("a")}}
	both := publication{&Cluster{ServiceName: "s"}, map[string]*EndpointSet{"s": listed("a", "b"), "other": listed("a")}}
	for name, c := range map[string]struct {
		in, out publication
		left    []string // used while it is out
		isWhole bool     // the second departure is in force as it was sent
	}{
		"drains":           {published(listed("a", "b")), published(listed("a", "b draining")), []string{"a"}, true},
		"left out":         {published(listed("a", "b")), published(listed("a")), []string{"a"}, true},
		"unhealthy":        {published(listed("a", "b")), published(listed("a", "b unhealthy")), []string{"a"}, true},
		"no weight":        {weighted(1), weighted(0), []string{"a"}, false},
		"lower priority":   {published(listed("a", "b")), published(demoted), []string{"a"}, false},
		"inline, drains":   {inline(listed("a", "b")), inline(listed("a", "b draining")), []string{"a"}, true},
		"inline, left out": {inline(listed("a", "b")), inline(listed("a")), []string{"a"}, true},
		"from set to own":  {published(listed("a", "b")), inline(listed("a")), []string{"a"}, false},
		"another set":      {both, other, []string{"a"}, false},
		"all drain":        {published(listed("b")), published(listed("b draining")), nil, true},
		"replaced":         {published(listed("b")), published(listed("c")), nil, false},
		"empty set":        {published(listed("b")), published(listed()), nil, true},
		"set removed":      {published(listed("b")), published(nil), nil, true},
		"cluster removed":  {published(listed("b")), publication{nil, map[string]*EndpointSet{"s": listed("b")}}, nil, true},
		"leaves, returns":  {published(listed("a", "b", "c draining")), published(listed("a", "b draining", "c")), []string{"a"}, false},
		"leaves, recovers": {panicking(listed("a", "c unhealthy")), panicking(listed("a draining", "c")), nil, false},
		"fails over": {published(&EndpointSet{Overprovisioning: 1, Localities: []Locality{localityOf(0, "b"), localityOf(1, "z")}}),
			published(&EndpointSet{Overprovisioning: 1, Localities: []Locality{localityOf(0, "b draining"), localityOf(1, "z")}}), []string{"z"}, true},
		"leaves, is listed": {published(listed("a", "b")), published(listed("a", "b draining", "c")), []string{"a"}, false},
	} {
		checkLeaving := func(t *testing.T, end func(*planeClient)) {
			t.Helper()
			p := newPlaneClient(t)
			whole := func(state publication) []string { // what is used once the state is in force
				alone := newPlaneClient(t)
				alone.receive(state)
				return alone.used()
			}
			p.receive(c.in)
			p.uses("in use", whole(c.in)...)
			p.receive(c.out)
			p.uses("out for the first time", whole(c.out)...)
			p.receive(c.in)
			p.uses("back", whole(c.in)...)
			end(p)
			if withheld := p.receive(c.out); (len(withheld) == 0) != c.isWhole {
				t.Errorf("not acknowledged: %v; want an acknowledgement: %v", withheld, c.isWhole)
			}
			p.uses("out again on a new stream", c.left...)
			end(p)
			p.uses("after the end of that stream", c.left...)
			if withheld := p.receive(c.in); len(withheld) == 0 {
				t.Error("the older state is acknowledged, though not all that it uses is used")
			}
			p.uses("the older state on a third stream", c.left...)
			end(p)
			p.receive(c.out)
			p.uses("out once more", c.left...)
			p.now = p.now.Add(deferTime)
			p.uses("after the defer time", whole(c.out)...)
			p.receive(c.in)
			p.uses("back on that stream", whole(c.in)...)
		}
		t.Run(name+"/new stream", func(t *testing.T) { checkLeaving(t, (*planeClient).reconnect) })
		t.Run(name+"/new process", func(t *testing.T) { checkLeaving(t, (*planeClient).restart) })
	}
}
