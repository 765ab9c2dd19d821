package records

import (
	"fmt"
	"maps"
	"slices"

	"silvertrail/internal/xds/ads"
)

// Publication is a set of changes that were made together.
type Publication struct {
	Version   Version
	Records   []Record
	Unchanged int // contents that hold already
}

// Prepare makes a publication of contents, or tells all that is wrong with them. It changes nothing: the records hold when
// they are merged, which has to wait until they are written down. A version that was sent and forgotten would be given twice.
func (s *Store) Prepare(contents []Content) (p Publication, faults []error) {
	next := map[Key]Content{}
	for _, c := range contents {
		switch _, twice := next[c.Key]; {
		case twice:
			faults = append(faults, fmt.Errorf("%s: told twice", c.Key))
			continue
		case c.Removed && !s.isPresent(c.Key):
			faults = append(faults, fmt.Errorf("%s: can't be removed: there is none", c.Key))
		}
		next[c.Key] = c
	}
	faults = append(faults, s.danglingReferences(next)...)
	there, _ := s.Counts()
	p.Version = Version{s.counter + 1, s.origin}
	for _, k := range slices.SortedFunc(maps.Keys(next), Key.Compare) {
		c := next[k]
		is, known := s.Find(k)
		if known && is.Removed == c.Removed && is.Digest == c.Digest {
			p.Unchanged++
			continue
		}
		r := Record{Content: c, Version: p.Version}
		if known {
			r.Ancestry = s.entries[k.Kind][k.Name].observed.clone()
		}
		p.Records = append(p.Records, r)
		if !c.Removed && !s.isPresent(k) {
			there[k.Kind]++
		}
	}
	for k, n := range there {
		if n > MaxResources {
			faults = append(faults, fmt.Errorf("%d resources of kind %s would be there; %d are the most", n, ads.Kind(k), MaxResources))
		}
	}
	if p.Version.Counter >= maxCounter {
		faults = append(faults, fmt.Errorf("there are no versions left after %d", s.counter))
	}
	if len(faults) > 0 {
		return Publication{}, faults
	}
	return p, nil
}

// danglingReferences tells of clusters that would need an endpoint set which is not there: a receiver would wait for it for nothing.
func (s *Store) danglingReferences(next map[Key]Content) (faults []error) {
	after := func(k Key) bool {
		if c, is := next[k]; is {
			return !c.Removed
		}
		return s.isPresent(k)
	}
	for _, k := range slices.SortedFunc(maps.Keys(next), Key.Compare) {
		c := next[k]
		switch {
		case k.Kind == ads.Clusters && !c.Removed && c.Set != "" && !after(Key{ads.Sets, c.Set}):
			faults = append(faults, fmt.Errorf("%s: eds_cluster_config: there are no endpoints named %q", k, c.Set))
		case k.Kind == ads.Sets && c.Removed:
			for _, of := range s.clustersOf(k.Name) {
				if by, is := next[Key{ads.Clusters, of}]; !is || !by.Removed && by.Set == k.Name {
					faults = append(faults, fmt.Errorf("%s: can't be removed: cluster %q needs it", k, of))
				}
			}
		}
	}
	return faults
}

// clustersOf returns the clusters that need an endpoint set.
func (s *Store) clustersOf(set string) (out []string) {
	for name, e := range s.entries[ads.Clusters] {
		if !e.Removed && e.Set == set {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
