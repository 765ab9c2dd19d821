// Package records keeps what control machines have published, and merges what they say to one another. It has no I/O and no
// clock, and is not safe for concurrent use.
//
// A record is one resource (a cluster or an endpoint set) in one version, or that it was removed. It never changes: a change is a
// new record. A version is a counter and the machine that gave it. A publication takes the highest counter that its machine
// has seen, plus one (Lamport's clock), so one that knew of another is newer than it, and all machines agree which of any two
// is. A record also tells what its machine had seen of the resource, by origin (a version vector): two of which neither had seen
// the other were made apart. Then the newer one holds, everywhere, and the other is told as lost.
package records

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"strings"

	"silvertrail/internal/xds/ads"
)

// Version is a publication's place among all.
type Version struct {
	Counter uint64 `codec:"Counter"`
	Origin  string `codec:"Origin"` // of the machine; no two starts from nothing share one
}

const (
	maxCounter     = 1 << 62
	maxOriginBytes = 200 // bytes
	maxOrigins     = 16  // of which a record tells what was seen; those with the lowest counters are left out
)

// Compare orders versions: zero is the oldest.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Counter, o.Counter), strings.Compare(v.Origin, o.Origin))
}

// String returns the version as receivers hear it.
func (v Version) String() string {
	if v == (Version{}) {
		return ""
	}
	return strconv.FormatUint(v.Counter, 10) + "-" + v.Origin
}

// ParseVersion reads what String has written.
func ParseVersion(text string) (v Version, err error) {
	counter, origin, ok := strings.Cut(text, "-")
	if v.Counter, err = strconv.ParseUint(counter, 10, 64); err != nil || !ok || v.Counter == 0 || v.Counter >= maxCounter || origin == "" ||
		len(origin) > maxOriginBytes || strconv.FormatUint(v.Counter, 10) != counter {
		return Version{}, fmt.Errorf("%.100q is no version of a control machine", text)
	}
	v.Origin = origin
	return v, nil
}

// VersionVector tells the highest counter that was seen, by origin.
type VersionVector map[string]uint64

// Includes tells whether a version was seen.
func (s VersionVector) Includes(v Version) bool { return s[v.Origin] >= v.Counter }

func (s *VersionVector) add(v Version) {
	if v.Counter == 0 || s.Includes(v) {
		return
	}
	if *s == nil {
		*s = VersionVector{}
	}
	(*s)[v.Origin] = v.Counter
	if len(*s) > maxOrigins {
		lowest := Version{Counter: maxCounter}
		for o, c := range *s {
			if at := (Version{c, o}); at.Compare(lowest) < 0 {
				lowest = at
			}
		}
		delete(*s, lowest.Origin)
	}
}

// Key names a resource.
type Key struct {
	Kind ads.Kind `codec:"Kind"`
	Name string   `codec:"Name"`
}

func (k Key) String() string { return k.Kind.String() + "/" + k.Name }

// ParseKey reads what String has written.
func ParseKey(text string) (Key, error) {
	kind, name, ok := strings.Cut(text, "/")
	for k := range ads.Kinds {
		if ok && name != "" && kind == k.String() {
			return Key{k, name}, nil
		}
	}
	return Key{}, fmt.Errorf("%.100q is neither %s/NAME nor %s/NAME", text, ads.Clusters, ads.Sets)
}

// Compare orders keys: clusters first.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), strings.Compare(k.Name, o.Name))
}

// Content is what is published of a resource.
type Content struct {
	Key
	Removed bool     `codec:"Removed"`
	Digest  [16]byte `codec:"Digest"`
	Raw     []byte   `codec:"Raw"` // as receivers get it; of a removed one: none
	Set     string   `codec:"Set"` // of a cluster: the endpoint set that it needs; empty: none
}

// Record is a resource in one version.
type Record struct {
	Content
	Version  Version       `codec:"Version"`
	Ancestry VersionVector `codec:"Seen"` // of this resource, by the machine that gave the version, before
}

// Check tells what is wrong with a record that came from elsewhere.
func (r *Record) Check() error {
	switch {
	case r.Kind >= ads.Kinds || r.Name == "":
		return errors.New("it names no resource")
	case r.Version.Counter == 0 || r.Version.Counter >= maxCounter || r.Version.Origin == "" || len(r.Version.Origin) > maxOriginBytes:
		return fmt.Errorf("%s: it has no version", r.Key)
	case len(r.Ancestry) > maxOrigins:
		return fmt.Errorf("%s: it has seen %d origins, over %d", r.Key, len(r.Ancestry), maxOrigins)
	case r.Removed != (len(r.Raw) == 0):
		return fmt.Errorf("%s: it is neither there nor removed", r.Key)
	}
	for _, c := range r.Ancestry {
		if c >= r.Version.Counter {
			return fmt.Errorf("%s: it has seen what is newer than itself", r.Key)
		}
	}
	return nil
}

func (s VersionVector) clone() VersionVector { return maps.Clone(s) }
