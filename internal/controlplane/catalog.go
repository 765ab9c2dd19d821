package controlplane

import (
	"iter"

	"silvertrail/internal/controlplane/distribution"
	"silvertrail/internal/controlplane/records"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/envoy"
)

// resourceOverheadBytes is the approximate number of bytes that names, versions and types add to a resource's content.
const resourceOverheadBytes = 120

// catalog implements distribution.Catalog with the records of a store.
type catalog struct{ *records.Store }

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
		for resourceKind := range ads.KindCount {
			if k != distribution.Records && typeOf(k) != envoy.TypeOf(resourceKind) {
				continue
			}
			for r := range c.Store.All(resourceKind) {
				if !yield(nameOf(k, r), resourceVersion(k, r)) {
					return
				}
			}
		}
	}
}

// nameOf returns the name under which the subscribers of a kind receive a record.
func nameOf(k distribution.Kind, r records.Record) string {
	if k == distribution.Records {
		return r.Key.String()
	}
	return r.Name
}

// keyOf returns the key of the record that the subscribers of a kind receive under a name.
func keyOf(k distribution.Kind, name string) (key records.Key, ok bool) {
	switch k {
	case distribution.Clusters:
		return records.Key{Kind: ads.Clusters, Name: name}, true
	case distribution.EndpointSets:
		return records.Key{Kind: ads.Endpoints, Name: name}, true
	}
	key, err := records.ParseKey(name)
	return key, err == nil
}

func resourceVersion(k distribution.Kind, r records.Record) distribution.ResourceVersion {
	return distribution.ResourceVersion{
		Version: r.Version,
		Bytes:   len(r.Raw) + 2*len(r.Name) + resourceOverheadBytes,
		Removed: r.Removed && k != distribution.Records,
	}
}
