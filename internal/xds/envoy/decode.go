// Package envoy decodes and validates clusters and endpoint sets of Envoy's API, version 3. Table lists the fields of the API and how
// each is handled. An unsupported field that is set rejects the resource or logs a warning. Only fields that do not concern this program
// are ignored without a warning.
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

// Type URLs of the supported resources, and of the Resource wrapper that adds a version to a resource.
const (
	ClusterType   = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointsType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	wrapperType   = "type.googleapis.com/envoy.service.discovery.v3.Resource"
)

// TypeOf returns the type URL of a resource kind.
func TypeOf(k ads.Kind) string { return [...]string{ClusterType, EndpointsType}[k] }

// KindOf returns the resource kind of a type URL, or ads.KindCount if the type is not supported.
func KindOf(url string) ads.Kind {
	switch url {
	case ClusterType:
		return ads.Clusters
	case EndpointsType:
		return ads.Endpoints
	}
	return ads.KindCount
}

// Error reports a resource that could not be decoded or is not valid.
type Error struct {
	Name string // empty if the name of the resource could not be read
	Err  error
}

func (e *Error) Error() string {
	if e.Name == "" {
		return e.Err.Error()
	}
	return fmt.Sprintf("%q: %v", e.Name, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// cacheKey identifies a resource by its kind and the hash of its encoded bytes.
type cacheKey struct {
	kind ads.Kind
	hash [sha256.Size]byte
}

// Decoder decodes resources. It caches the result for a resource until the encoded bytes of the resource change. A Decoder is not safe
// for concurrent use.
type Decoder struct {
	Warn func(text string) // may be called several times with the same text

	cached map[cacheKey]cache.Resource
	latest [ads.KindCount]map[string]cacheKey // key of the cached version, by resource name
}

// Decode decodes a resource. If the resource is wrapped, the version of the wrapper, if set, replaces version. Errors are of type *Error.
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

// store caches a resource and evicts the previous version of the same name. When the cache is full, store clears it first.
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

// message is a resource message with the generated validation rules of its API.
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

// validate makes the checks that all resources share: the name is not empty, the API's validation rules hold, and no field is rejected
// by the field table.
func validate(name string, m message, warnings map[string]bool) error {
	if name == "" {
		return errors.New("it has no name")
	}
	if err := m.Validate(); err != nil {
		return err
	}
	return checkFields(m.ProtoReflect(), string(m.ProtoReflect().Descriptor().Name()), warnings)
}

// warn reports the warnings in sorted order.
func (d *Decoder) warn(warnings map[string]bool) {
	if d.Warn == nil {
		return
	}
	for _, text := range slices.Sorted(maps.Keys(warnings)) {
		d.Warn(text)
	}
}

// digest returns a digest of a message's content. The message is marshalled again because the order of map entries in the received bytes
// is undefined.
func digest(m proto.Message) (updateorder.Digest, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return updateorder.Digest{}, err
	}
	sum := sha256.Sum256(encoded)
	return updateorder.Digest(sum[:16]), nil
}
