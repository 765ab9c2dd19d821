package controlplane

import (
	"errors"
	"fmt"
	"strconv"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"

	"silvertrail/internal/controlplane/distribution"
	"silvertrail/internal/controlplane/records"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/cache"
	"silvertrail/internal/xds/envoy"
)

const (
	// recordType is the type URL under which control-plane servers subscribe to each other's records. A record is encoded as the
	// Resource message of the discovery API, with the version vector in its metadata. For a removed resource, the message's
	// resource field is empty.
	recordType = "type.googleapis.com/envoy.service.discovery.v3.Resource"
	// versionVectorKey is the key of the version vector in the metadata. The vector maps each origin to its counter. Counters are
	// strings, as numbers in the metadata are floating-point.
	versionVectorKey = "silvertrail.seen"
)

// typeOf returns the type URL of a kind.
func typeOf(k distribution.Kind) string {
	return [...]string{envoy.ClusterType, envoy.EndpointsType, recordType}[k]
}

// kindOf returns the kind of a type URL, or distribution.KindCount for a type that is not served.
func kindOf(url string) distribution.Kind {
	for k := range distribution.KindCount {
		if typeOf(k) == url {
			return k
		}
	}
	return distribution.KindCount
}

// encodeResource encodes a record for the subscribers of a kind.
func encodeResource(k distribution.Kind, r records.Record) (*discoveryv3.Resource, error) {
	encoded := &discoveryv3.Resource{Name: nameOf(k, r), Version: r.Version.String()}
	if !r.Removed {
		encoded.Resource = &anypb.Any{TypeUrl: envoy.TypeOf(r.Kind), Value: r.Raw}
	}
	if k != distribution.Records {
		return encoded, nil
	}
	encoded.Metadata = encodeVersionVector(r.Ancestry)
	value, err := proto.Marshal(encoded)
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", r.Key, err)
	}
	return &discoveryv3.Resource{Name: encoded.Name, Version: encoded.Version, Resource: &anypb.Any{TypeUrl: recordType, Value: value}}, nil
}

func encodeVersionVector(vector records.VersionVector) *corev3.Metadata {
	if len(vector) == 0 {
		return nil
	}
	counters := &structpb.Struct{Fields: map[string]*structpb.Value{}}
	for origin, counter := range vector {
		counters.Fields[origin] = structpb.NewStringValue(strconv.FormatUint(counter, 10))
	}
	return &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{versionVectorKey: counters}}
}

// parseRecord parses and checks a record from another control-plane server.
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
	if r.Ancestry, err = parseVersionVector(m.GetMetadata()); err != nil {
		return r, fmt.Errorf("%s: %w", r.Key, err)
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

func parseVersionVector(m *corev3.Metadata) (records.VersionVector, error) {
	var vector records.VersionVector
	for origin, value := range m.GetFilterMetadata()[versionVectorKey].GetFields() {
		counter, err := strconv.ParseUint(value.GetStringValue(), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("what it has seen of %q: %w", origin, err)
		}
		if vector == nil {
			vector = records.VersionVector{}
		}
		vector[origin] = counter
	}
	return vector, nil
}

// parseContent parses and checks a resource by the same rules as the sidecars that receive it.
func parseContent(k ads.Kind, a *anypb.Any) (records.Content, error) {
	item, err := (&envoy.Decoder{}).Decode(k, "", a)
	var invalid *envoy.Error
	if errors.As(err, &invalid) && invalid.Name != "" {
		return records.Content{}, fmt.Errorf("%s: %w", records.Key{Kind: k, Name: invalid.Name}, invalid.Err)
	}
	if err != nil {
		return records.Content{}, err
	}
	key := records.Key{Kind: k, Name: item.Name}
	return records.Content{Key: key, Digest: item.Digest, Raw: item.Raw, EndpointSet: requiredSet(item.Cluster)}, nil
}

// requiredSet returns the name of the endpoint set that a cluster requires from its control plane, or "" if it requires none.
func requiredSet(c *cache.Cluster) string {
	if c == nil || c.EndpointsFile != "" {
		return ""
	}
	return c.ServiceName
}
