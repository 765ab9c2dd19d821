package hollow

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"silvertrail/internal/xds"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/internal/xds/cache"
	"silvertrail/internal/xds/selection"
)

// Member is the control part of one sidecar: it follows its clusters, and makes no calls.
type Member struct {
	Number int

	client *xds.Client
	stop   context.CancelFunc
	tasks  sync.WaitGroup

	mu           sync.Mutex
	generations  map[string]int // generation in force, by cluster
	rollbacks    int            // times that a cluster went back to an older generation
	changed      chan struct{}
	inForceSince map[int]time.Time // when a generation was in force for all members' cluster
}

// Options are those of the program where its file tells nothing, with planes at some addresses.
func Options(node string, variant ads.Variant, addresses ...string) bootstrap.Options {
	o := bootstrap.Options{Variant: variant, Node: bootstrap.Node{ID: node}, DeferTime: 30 * time.Second, ResourceTimeout: 15 * time.Second, KeepaliveTime: 5 * time.Minute, MaxMessageBytes: 16 << 20,
		Selection: selection.Timing{ResponseTimeout: 5 * time.Second, Probation: 10 * time.Second, MinBackoff: 500 * time.Millisecond, MaxBackoff: 30 * time.Second}}
	for _, a := range addresses {
		o.ControlPlanes = append(o.ControlPlanes, bootstrap.ControlPlane{Name: a, Address: a, Insecure: true})
	}
	return o
}

// Start has a member follow clusters.
func Start(number int, o bootstrap.Options, clusters []string) *Member {
	m := &Member{Number: number, generations: map[string]int{}, changed: make(chan struct{}), inForceSince: map[int]time.Time{}, client: xds.Start(o, slog.New(slog.DiscardHandler))}
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	for _, name := range clusters {
		m.tasks.Go(func() { m.client.Follow(ctx, name, func(v cache.ClusterView) { m.update(name, v) }) })
	}
	return m
}

// Close ends the member.
func (m *Member) Close() {
	m.stop()
	m.tasks.Wait()
	m.client.Close()
}

// update notes what is in force of a cluster, from its list of members as a balancer would make it.
func (m *Member) update(name string, v cache.ClusterView) {
	now := time.Now()
	generation := 0
	if v.State == cache.Ready {
		for _, e := range v.AssignTraffic(cache.AllPriorities) {
			generation = max(generation, int(e.Weight))
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	was := m.generations[name]
	switch {
	case generation == was || generation == 0: // an empty set, as while a zone is lost, has none
		return
	case generation < was:
		m.rollbacks++
	}
	m.generations[name] = generation
	if name == Everywhere {
		if _, seen := m.inForceSince[generation]; !seen {
			m.inForceSince[generation] = now
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// AwaitGeneration waits until a generation is in force, and tells since when.
func (m *Member) AwaitGeneration(ctx context.Context, generation int) (at time.Time, ok bool) {
	for {
		m.mu.Lock()
		for g, t := range m.inForceSince {
			if g >= generation && (!ok || t.Before(at)) {
				at, ok = t, true
			}
		}
		changed := m.changed
		m.mu.Unlock()
		if ok {
			return at, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return time.Time{}, false
		}
	}
}

// Generations returns the clusters in force with their generations, and how often one went back to an older one.
func (m *Member) Generations() (at map[string]int, went int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at = make(map[string]int, len(m.generations))
	for name, g := range m.generations {
		at[name] = g
	}
	return at, m.rollbacks
}

// Resources is how many clusters and sets the member holds.
func (m *Member) Resources() int { return len(m.client.Dump().Resources) }

// AwaitState waits until a member holds the generations of a state for all its clusters, and names one that it does not hold.
func (m *Member) AwaitState(ctx context.Context, s *State, clusters []string) (behind string) {
	for {
		m.mu.Lock()
		i := slices.IndexFunc(clusters, func(name string) bool {
			return m.generations[name] != s.Version(name) && len(s.Set(name).Endpoints) > 0
		})
		changed := m.changed
		m.mu.Unlock()
		if i < 0 {
			return ""
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return clusters[i]
		}
	}
}
