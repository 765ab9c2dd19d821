package xds

import (
	"fmt"
	"maps"
	"slices"

	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/cache"
)

// withheldDetail is the error detail for a resource that is not in force as it was sent.
const withheldDetail = "not in force yet: the content was replaced before, so that only what it takes out of use is in force"

// withheldResources holds the resources of a kind that a stream has sent and that are not in force as they were sent. Their responses are
// rejected, so that control planes do not count them as applied, and are acknowledged once the resources are in force.
type withheldResources struct {
	names       map[string]bool
	lastVersion string // of the last response
	isRejected  bool   // the last response held resources that cannot be used
}

// update records a response, and returns the error details of its resources that are withheld.
func (w *withheldResources) update(response cache.Response, withheld []string) (details []string) {
	if w.names == nil {
		w.names = map[string]bool{}
	}
	for _, r := range response.Resources {
		delete(w.names, r.Name)
	}
	for _, name := range response.Removed {
		delete(w.names, name)
	}
	for _, name := range withheld {
		w.names[name] = true
		details = append(details, fmt.Sprintf("%s %s: %s", response.Kind, name, withheldDetail))
	}
	w.lastVersion = response.Version
	return details
}

// acknowledgeApplied acknowledges the withheld resources of a stream that are in force now. An incremental stream requests them once more,
// as the response to the rejection is over. The caller holds the client's lock.
func (k *conn) acknowledgeApplied() {
	if k.session == nil {
		return
	}
	for kind := range ads.KindCount {
		w := &k.withheld[kind]
		var applied []string
		for _, name := range slices.Sorted(maps.Keys(w.names)) {
			if !k.client.cache.HasCandidates(kind, name) {
				delete(w.names, name)
				applied = append(applied, name)
			}
		}
		if len(applied) == 0 {
			continue
		}
		if k.client.options.Variant == ads.Delta {
			k.session.Resubscribe(kind, applied)
		} else if len(w.names) == 0 && !w.isRejected {
			k.session.Answer(kind, w.lastVersion, "")
		}
		k.wake()
	}
}
