package records

import (
	"fmt"
	"maps"
	"slices"

	"silvertrail/internal/xds/ads"
)

// Publication is a set of changes that are made together.
type Publication struct {
	Version   Version
	Records   []Record
	Unchanged int // number of contents that are in force already
}

// Prepare returns the publication of contents, or all faults in them. It does not modify the store. The caller stores the
// publication first and then merges its records, which puts them in force: a version that was sent but not stored would be
// assigned twice.
func (s *Store) Prepare(contents []Content) (p Publication, faults []error) {
	next, faults := s.contentsByKey(contents)
	faults = append(faults, s.danglingReferences(next)...)
	present, _ := s.Counts()
	p.Version = Version{Counter: s.counter + 1, Origin: s.origin}
	for _, k := range slices.SortedFunc(maps.Keys(next), Key.Compare) {
		c := next[k]
		current, known := s.Find(k)
		if known && current.isSame(&c) {
			p.Unchanged++
			continue
		}
		r := Record{Content: c, Version: p.Version}
		if known {
			r.Ancestry = s.entries[k.Kind][k.Name].observed.clone()
		}
		p.Records = append(p.Records, r)
		if !c.Removed && !s.isPresent(k) {
			present[k.Kind]++
		}
	}
	faults = append(faults, s.checkBounds(present, p.Version)...)
	if len(faults) > 0 {
		return Publication{}, faults
	}
	return p, nil
}

// contentsByKey returns the contents by key, and a fault for each duplicate and each removal of a missing resource.
func (s *Store) contentsByKey(contents []Content) (next map[Key]Content, faults []error) {
	next = map[Key]Content{}
	for _, c := range contents {
		if _, duplicate := next[c.Key]; duplicate {
			faults = append(faults, fmt.Errorf("%s: told twice", c.Key))
			continue
		}
		if c.Removed && !s.isPresent(c.Key) {
			faults = append(faults, fmt.Errorf("%s: can't be removed: there is none", c.Key))
		}
		next[c.Key] = c
	}
	return next, faults
}

// checkBounds returns a fault for each bound that a publication would exceed.
func (s *Store) checkBounds(present [ads.KindCount]int, version Version) (faults []error) {
	for k, n := range present {
		if n > MaxResources {
			faults = append(faults, fmt.Errorf("%d resources of kind %s would be there; %d are the most", n, ads.Kind(k), MaxResources))
		}
	}
	if version.Counter >= maxCounter {
		faults = append(faults, fmt.Errorf("there are no versions left after %d", s.counter))
	}
	return faults
}

// danglingReferences returns a fault for each cluster that would require a missing endpoint set, which its subscribers would never
// receive.
func (s *Store) danglingReferences(next map[Key]Content) (faults []error) {
	for _, k := range slices.SortedFunc(maps.Keys(next), Key.Compare) {
		c := next[k]
		switch {
		case k.Kind == ads.Clusters && !c.Removed && c.EndpointSet != "" && !s.willBePresent(next, Key{Kind: ads.Endpoints, Name: c.EndpointSet}):
			faults = append(faults, fmt.Errorf("%s: eds_cluster_config: there are no endpoints named %q", k, c.EndpointSet))
		case k.Kind == ads.Endpoints && c.Removed:
			faults = append(faults, s.removalFaults(next, k)...)
		}
	}
	return faults
}

// removalFaults returns a fault for each cluster that would require a removed endpoint set.
func (s *Store) removalFaults(next map[Key]Content, set Key) (faults []error) {
	for _, cluster := range s.clustersRequiring(set.Name) {
		c, changes := next[Key{Kind: ads.Clusters, Name: cluster}]
		if !changes || !c.Removed && c.EndpointSet == set.Name {
			faults = append(faults, fmt.Errorf("%s: can't be removed: cluster %q needs it", set, cluster))
		}
	}
	return faults
}

// willBePresent reports whether a resource is present after a publication.
func (s *Store) willBePresent(next map[Key]Content, k Key) bool {
	if c, changes := next[k]; changes {
		return !c.Removed
	}
	return s.isPresent(k)
}

// clustersRequiring returns the clusters that require an endpoint set.
func (s *Store) clustersRequiring(set string) []string {
	var clusters []string
	for name, e := range s.entries[ads.Clusters] {
		if !e.Removed && e.EndpointSet == set {
			clusters = append(clusters, name)
		}
	}
	slices.Sort(clusters)
	return clusters
}
