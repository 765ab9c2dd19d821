package controlplane

import (
	"errors"
	"fmt"
	"iter"
	"strconv"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"

	"silvertrail/internal/controlplane/distribution"
	"silvertrail/internal/controlplane/records"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/envoy"
	"silvertrail/internal/xds/known"
)

// recordType is the type under which control machines subscribe to one another's records: each is the API's own message of a resource
// with its version, whose metadata tells what was seen of it. One that was removed holds no resource.
const (
	recordType       = "type.googleapis.com/envoy.service.discovery.v3.Resource"
	versionVectorKey = "silvertrail.seen" // of the metadata: counters by origin, as texts, since numbers there are rounded
)

// typeOf returns a kind's name on the wire.
func typeOf(k distribution.Kind) string {
	return [...]string{envoy.ClusterType, envoy.SetType, recordType}[k]
}

// kindOf returns the kind of a type; distribution.Kinds where it is none of ours.
func kindOf(url string) distribution.Kind {
	for k := range distribution.Kinds {
		if typeOf(k) == url {
			return k
		}
	}
	return distribution.Kinds
}

// resourceOverheadBytes is about what a resource takes beside its content: names, versions and types.
const resourceOverheadBytes = 120

// catalog offers a store's records.
type catalog struct{ *records.Store }

func keyOf(k distribution.Kind, name string) (key records.Key, ok bool) {
	switch k {
	case distribution.Clusters:
		return records.Key{Kind: ads.Clusters, Name: name}, true
	case distribution.Sets:
		return records.Key{Kind: ads.Sets, Name: name}, true
	}
	key, err := records.ParseKey(name)
	return key, err == nil
}

func resourceVersion(k distribution.Kind, r records.Record) distribution.ResourceVersion {
	return distribution.ResourceVersion{Version: r.Version, Bytes: len(r.Raw) + 2*len(r.Name) + resourceOverheadBytes, Removed: r.Removed && k != distribution.Records}
}

// Find implements distribution.Catalog.
func (c catalog) Find(k distribution.Kind, name string) (distribution.ResourceVersion, bool) {
	key, ok := keyOf(k, name)
	if !ok {
		return distribution.ResourceVersion{}, false
	}
	r, ok := c.Store.Find(key)
	return resourceVersion(k, r), ok
}

// All implements distribution.Catalog.
func (c catalog) All(k distribution.Kind) iter.Seq2[string, distribution.ResourceVersion] {
	return func(yield func(string, distribution.ResourceVersion) bool) {
		for of := range ads.Kinds {
			if k != distribution.Records && typeOf(k) != envoy.TypeOf(of) {
				continue
			}
			for r := range c.Store.All(of) {
				name := r.Name
				if k == distribution.Records {
					name = r.Key.String()
				}
				if !yield(name, resourceVersion(k, r)) {
					return
				}
			}
		}
	}
}

// encodeResource returns a record as a kind's subscribers get it.
func encodeResource(k distribution.Kind, r records.Record) (*discoveryv3.Resource, error) {
	out := &discoveryv3.Resource{Name: r.Name, Version: r.Version.String()}
	if !r.Removed {
		out.Resource = &anypb.Any{TypeUrl: envoy.TypeOf(r.Kind), Value: r.Raw}
	}
	if k != distribution.Records {
		return out, nil
	}
	if len(r.Ancestry) > 0 {
		seen := &structpb.Struct{Fields: map[string]*structpb.Value{}}
		for origin, counter := range r.Ancestry {
			seen.Fields[origin] = structpb.NewStringValue(strconv.FormatUint(counter, 10))
		}
		out.Metadata = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{versionVectorKey: seen}}
	}
	out.Name = r.Key.String()
	text, err := proto.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", r.Key, err)
	}
	return &discoveryv3.Resource{Name: out.Name, Version: out.Version, Resource: &anypb.Any{TypeUrl: recordType, Value: text}}, nil
}

// parseRecord reads and checks what another control machine says.
func parseRecord(a *anypb.Any) (r records.Record, err error) {
	m := &discoveryv3.Resource{}
	if a.GetTypeUrl() != recordType {
		return r, fmt.Errorf("of type %q among records", a.GetTypeUrl())
	}
	if err := proto.Unmarshal(a.Value, m); err != nil {
		return r, err
	}
	if r.Key, err = records.ParseKey(m.Name); err != nil {
		return r, err
	}
	if r.Version, err = records.ParseVersion(m.Version); err != nil {
		return r, fmt.Errorf("%s: %w", r.Key, err)
	}
	for origin, v := range m.GetMetadata().GetFilterMetadata()[versionVectorKey].GetFields() {
		if r.Ancestry == nil {
			r.Ancestry = records.VersionVector{}
		}
		if r.Ancestry[origin], err = strconv.ParseUint(v.GetStringValue(), 10, 64); err != nil {
			return r, fmt.Errorf("%s: what it has seen of %q: %w", r.Key, origin, err)
		}
	}
	if m.Resource == nil {
		r.Removed = true
		return r, r.Check()
	}
	c, err := parseContent(r.Kind, m.Resource)
	if err != nil {
		return r, err
	}
	if c.Name != r.Name {
		return r, fmt.Errorf("%s: the resource calls itself %q", r.Key, c.Name)
	}
	r.Content = c
	return r, r.Check()
}

// parseContent reads and checks a resource by the same rules as those who receive it.
func parseContent(k ads.Kind, a *anypb.Any) (c records.Content, err error) {
	i, err := (&envoy.Decoder{}).Read(k, "", a)
	var bad *envoy.Error
	if errors.As(err, &bad) && bad.Name != "" {
		return c, fmt.Errorf("%s: %w", records.Key{Kind: k, Name: bad.Name}, bad.Err)
	}
	if err != nil {
		return c, err
	}
	return records.Content{Key: records.Key{Kind: k, Name: i.Name}, Digest: i.Digest, Raw: i.Raw, Set: requiredSet(i.Cluster)}, nil
}

// requiredSet returns the endpoint set that a cluster needs from its control plane.
func requiredSet(c *known.Cluster) string {
	if c == nil || c.File != "" {
		return ""
	}
	return c.Service
}
