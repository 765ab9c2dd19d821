// Package envoy decodes clusters and endpoint sets of Envoy's API, version 3, into checked types. Table lists what of the API is
// supported; a field that is set and not supported is rejected or logged, never ignored silently.
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

// The type URLs of resources.
const (
	ClusterType   = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointsType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	wrapperType   = "type.googleapis.com/envoy.service.discovery.v3.Resource"
)

// TypeOf returns the type URL of a kind.
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

// Error is a resource that cannot be used.
type Error struct {
	Name string // empty where it could not be read
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

// Decoder decodes resources. The result for the bytes of a resource is cached until the resource changes. It is not safe for concurrent
// use.
type Decoder struct {
	Warn func(text string) // may be called several times with the same text

	cached map[cacheKey]cache.Resource
	latest [ads.KindCount]map[string]cacheKey // by name
}

// Decode decodes a resource. The error is an *Error.
func (d *Decoder) Decode(k ads.Kind, version string, raw *anypb.Any) (cache.Resource, error) {
	if raw.GetTypeUrl() == wrapperType {
		var wrapper discoveryv3.Resource
		if err := proto.Unmarshal(raw.Value, &wrapper); err != nil {
			return cache.Resource{}, &Error{Err: err}
		}
		if wrapper.Version != "" {
			version = wrapper.Version
		}
		raw = wrapper.Resource
	}
	if KindOf(raw.GetTypeUrl()) != k {
		return cache.Resource{}, &Error{Err: fmt.Errorf("of type %q among those of %q", raw.GetTypeUrl(), TypeOf(k))}
	}
	key := cacheKey{k, sha256.Sum256(raw.Value)}
	resource, hit := d.cached[key]
	if !hit {
		var err error
		if resource, err = d.decode(k, raw.Value); err != nil {
			return cache.Resource{}, err
		}
		d.store(key, resource)
	}
	resource.Version = version
	return resource, nil
}

// store caches a resource in place of the one with its name.
func (d *Decoder) store(key cacheKey, resource cache.Resource) {
	if d.cached == nil || len(d.cached) >= int(ads.KindCount)*cache.MaxResources {
		d.cached = map[cacheKey]cache.Resource{}
		d.latest = [ads.KindCount]map[string]cacheKey{}
	}
	if d.latest[key.kind] == nil {
		d.latest[key.kind] = map[string]cacheKey{}
	}
	delete(d.cached, d.latest[key.kind][resource.Name])
	d.cached[key] = resource
	d.latest[key.kind][resource.Name] = key
}

// message is a resource that can be validated by the rules of its API.
type message interface {
	proto.Message
	Validate() error
}

func (d *Decoder) decode(k ads.Kind, raw []byte) (cache.Resource, error) {
	resource := cache.Resource{Raw: raw}
	warnings := map[string]bool{}
	var m message
	var err error
	if k == ads.Clusters {
		c := &clusterv3.Cluster{}
		m = c
		if err = proto.Unmarshal(raw, c); err != nil {
			return resource, &Error{Err: err}
		}
		resource.Name = c.Name
		if err = validate(c.Name, c, warnings); err == nil {
			resource.Cluster, err = parseCluster(c, warnings)
		}
	} else {
		s := &endpointv3.ClusterLoadAssignment{}
		m = s
		if err = proto.Unmarshal(raw, s); err != nil {
			return resource, &Error{Err: err}
		}
		resource.Name = s.ClusterName
		if err = validate(s.ClusterName, s, warnings); err == nil {
			resource.Set, err = parseEndpointSet(s, cache.NoResolution)
		}
	}
	if err != nil {
		return resource, &Error{resource.Name, err}
	}
	d.warn(warnings)
	if resource.Digest, err = digest(m); err != nil {
		return resource, &Error{resource.Name, err}
	}
	return resource, nil
}

// validate checks what all resources have in common: a name, the rules of the API, and that all fields are supported.
func validate(name string, m message, warnings map[string]bool) error {
	if name == "" {
		return errors.New("it has no name")
	}
	if err := m.Validate(); err != nil {
		return err
	}
	return checkFields(m.ProtoReflect(), string(m.ProtoReflect().Descriptor().Name()), warnings)
}

func (d *Decoder) warn(warnings map[string]bool) {
	if d.Warn == nil {
		return
	}
	for _, text := range slices.Sorted(maps.Keys(warnings)) {
		d.Warn(text)
	}
}

// digest returns a digest of a message's content. The received bytes do not serve: the order of maps in them is not defined.
func digest(m proto.Message) (updateorder.Digest, error) {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return updateorder.Digest{}, err
	}
	sum := sha256.Sum256(text)
	return updateorder.Digest(sum[:16]), nil
}
