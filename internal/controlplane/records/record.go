// Package records holds the resources that a control-plane server has accepted, and merges the records that servers send each
// other. It does no I/O and reads no clock. A Store belongs to one server, which serialises all calls.
//
// A record is one resource (a cluster or a set of endpoints) in one version, or its removal. A record never changes: a change is a
// new record. A version consists of a counter and the server that assigned it. A publication takes the highest counter that
// its server has seen, plus one (a Lamport clock), so a publication that knows of another one is newer, and all servers agree
// on the order of any two. A record also holds which versions of the resource its server had seen, by origin (a version
// vector). Of two records that do not know of each other, which are concurrent, the newer one wins on all servers, and the
// other one is reported as a conflict.
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

// Version identifies a publication, and orders it among all others. The zero Version is the oldest.
type Version struct {
	Counter uint64 `codec:"Counter"`
	Origin  string `codec:"Origin"` // the server that assigned the version; a server that has lost its state gets a new origin
}

const (
	maxCounter     = 1 << 62
	maxOriginBytes = 200
	maxOrigins     = 16 // of a version vector; those with the lowest counters are left out
)

// Compare orders versions.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Counter, other.Counter), strings.Compare(v.Origin, other.Origin))
}

// String returns the version in the form that is sent to subscribers. The zero Version is "".
func (v Version) String() string {
	if v == (Version{}) {
		return ""
	}
	return strconv.FormatUint(v.Counter, 10) + "-" + v.Origin
}

// ParseVersion parses the result of String.
func ParseVersion(text string) (Version, error) {
	invalid := fmt.Errorf("%.100q is no version of a control machine", text)
	counterText, origin, found := strings.Cut(text, "-")
	counter, err := strconv.ParseUint(counterText, 10, 64)
	switch {
	case !found || err != nil || counter == 0 || counter >= maxCounter:
		return Version{}, invalid
	case origin == "" || len(origin) > maxOriginBytes:
		return Version{}, invalid
	case strconv.FormatUint(counter, 10) != counterText:
		return Version{}, invalid
	}
	return Version{Counter: counter, Origin: origin}, nil
}

// VersionVector holds the highest counter seen of each origin.
type VersionVector map[string]uint64

// Includes reports whether a version was seen.
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
		delete(*s, s.lowestOrigin())
	}
}

func (s VersionVector) lowestOrigin() string {
	lowest := Version{Counter: maxCounter}
	for origin, counter := range s {
		if v := (Version{Counter: counter, Origin: origin}); v.Compare(lowest) < 0 {
			lowest = v
		}
	}
	return lowest.Origin
}

func (s VersionVector) clone() VersionVector { return maps.Clone(s) }

// Key identifies a resource.
type Key struct {
	Kind ads.Kind `codec:"Kind"`
	Name string   `codec:"Name"`
}

func (k Key) String() string { return k.Kind.String() + "/" + k.Name }

// ParseKey parses the result of String.
func ParseKey(text string) (Key, error) {
	kind, name, found := strings.Cut(text, "/")
	for k := range ads.KindCount {
		if found && name != "" && kind == k.String() {
			return Key{Kind: k, Name: name}, nil
		}
	}
	return Key{}, fmt.Errorf("%.100q is neither %s/NAME nor %s/NAME", text, ads.Clusters, ads.Endpoints)
}

// Compare orders keys: clusters come first.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), strings.Compare(k.Name, other.Name))
}

// Content is the published content of a resource, or its removal.
type Content struct {
	Key
	Removed     bool     `codec:"Removed"`
	Digest      [16]byte `codec:"Digest"`
	Raw         []byte   `codec:"Raw"` // the encoded resource as sent to subscribers; empty for a removed resource
	EndpointSet string   `codec:"Set"` // the endpoint set that a cluster requires; empty: none
}

// isSame reports whether two contents of a resource are equal.
func (c *Content) isSame(other *Content) bool {
	return c.Removed == other.Removed && c.Digest == other.Digest
}

// Record is a resource in one version.
type Record struct {
	Content
	Version  Version       `codec:"Version"`
	Ancestry VersionVector `codec:"Seen"` // versions of this resource that the server had seen before it assigned Version
}

// Check returns an error if the record is invalid, so that no correct server sends it.
func (r *Record) Check() error {
	switch {
	case r.Kind >= ads.KindCount || r.Name == "":
		return errors.New("it names no resource")
	case r.Version.Counter == 0 || r.Version.Counter >= maxCounter || r.Version.Origin == "" || len(r.Version.Origin) > maxOriginBytes:
		return fmt.Errorf("%s: it has no version", r.Key)
	case len(r.Ancestry) > maxOrigins:
		return fmt.Errorf("%s: it has seen %d origins, over %d", r.Key, len(r.Ancestry), maxOrigins)
	case r.Removed != (len(r.Raw) == 0):
		return fmt.Errorf("%s: it is neither there nor removed", r.Key)
	}
	for _, counter := range r.Ancestry {
		if counter >= r.Version.Counter {
			return fmt.Errorf("%s: it has seen what is newer than itself", r.Key)
		}
	}
	return nil
}
