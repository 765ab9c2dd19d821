// Package envoy reads clusters and endpoint sets in the form of Envoy's API, version 3, into checked types of ours. What of that
// form is supported stands in Table; what is set and is not supported is turned away or warned of, never quietly taken.
package envoy

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/cache"
)

// The types' names on the wire.
const (
	ClusterType   = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointsType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	wrapperType   = "type.googleapis.com/envoy.service.discovery.v3.Resource"
)

// TypeOf returns a kind's name on the wire.
func TypeOf(k ads.Kind) string { return [...]string{ClusterType, EndpointsType}[k] }

// KindOf returns the kind of a type; ads.Kinds where it is none of ours.
func KindOf(url string) ads.Kind {
	switch url {
	case ClusterType:
		return ads.Clusters
	case EndpointsType:
		return ads.Endpoints
	}
	return ads.KindCount
}

// Error is a resource that can't be used.
type Error struct {
	Name string // as far as it could be read
	Err  error
}

func (e *Error) Error() string {
	if e.Name == "" {
		return e.Err.Error()
	}
	return fmt.Sprintf("%q: %v", e.Name, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

type cacheKey struct {
	kind ads.Kind
	raw  [sha256.Size]byte
}

// Decoder reads resources. It knows each again by its bytes, as it was read last. It is not safe for concurrent use.
type Decoder struct {
	Warn func(text string) // may be called again with the same text

	cached map[cacheKey]cache.Resource
	latest [ads.KindCount]map[string]cacheKey // by name
}

// Read reads a resource. The error is an *Error.
func (d *Decoder) Read(k ads.Kind, version string, raw *anypb.Any) (cache.Resource, error) {
	if raw.GetTypeUrl() == wrapperType {
		var w discoveryv3.Resource
		if err := proto.Unmarshal(raw.Value, &w); err != nil {
			return cache.Resource{}, &Error{Err: err}
		}
		if w.Version != "" {
			version = w.Version
		}
		raw = w.Resource
	}
	if KindOf(raw.GetTypeUrl()) != k {
		return cache.Resource{}, &Error{Err: fmt.Errorf("of type %q among those of %q", raw.GetTypeUrl(), TypeOf(k))}
	}
	key := cacheKey{k, sha256.Sum256(raw.Value)}
	i, hit := d.cached[key]
	if !hit {
		var err error
		if i, err = d.decode(k, raw.Value); err != nil {
			return cache.Resource{}, err
		}
		if d.cached == nil || len(d.cached) >= int(ads.KindCount)*cache.MaxResources {
			d.cached, d.latest = map[cacheKey]cache.Resource{}, [ads.KindCount]map[string]cacheKey{}
		}
		if d.latest[k] == nil {
			d.latest[k] = map[string]cacheKey{}
		}
		delete(d.cached, d.latest[k][i.Name])
		d.cached[key], d.latest[k][i.Name] = i, key
	}
	i.Version = version
	return i, nil
}

func (d *Decoder) decode(k ads.Kind, raw []byte) (i cache.Resource, err error) {
	var m interface {
		proto.Message
		Validate() error
	}
	c, s := &clusterv3.Cluster{}, &endpointv3.ClusterLoadAssignment{}
	if m = c; k == ads.Endpoints {
		m = s
	}
	if err := proto.Unmarshal(raw, m); err != nil {
		return i, &Error{Err: err}
	}
	i.Name, i.Raw = c.Name, raw
	if k == ads.Endpoints {
		i.Name = s.ClusterName
	}
	fault := func(err error) (cache.Resource, error) { return i, &Error{i.Name, err} }
	if i.Name == "" {
		return fault(errors.New("it has no name"))
	}
	if err := m.Validate(); err != nil {
		return fault(err)
	}
	warned := map[string]bool{}
	if err := checkFields(m.ProtoReflect(), string(m.ProtoReflect().Descriptor().Name()), warned); err != nil {
		return fault(err)
	}
	if k == ads.Clusters {
		i.Cluster, err = parseCluster(c, warned)
	} else {
		i.Set, err = parseEndpointSet(s, cache.NoResolution)
	}
	if err != nil {
		return fault(err)
	}
	if d.Warn != nil {
		for _, w := range slices.Sorted(maps.Keys(warned)) {
			d.Warn(w)
		}
	}
	// Of the content and not of its bytes: maps are written in any order.
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return fault(err)
	}
	sum := sha256.Sum256(text)
	i.Digest = updateorder.Digest(sum[:16])
	return i, nil
}
