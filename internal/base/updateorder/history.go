package updateorder

import "slices"

// History is what the order of a resource's updates depends on, beside its current content. It survives a restart of the process.
type History struct {
	Reinstated bool      // the current content was replaced before
	Replaced   []Content // the most recently replaced last
	Candidates []Content // in the order of Candidates
}

// History returns the history of a resource; it is empty if the resource is unknown.
func (o *Orderer) History(name string) History {
	r := o.resources[name]
	if r == nil {
		return History{}
	}
	return History{Reinstated: r.reinstated, Replaced: slices.Clone(r.replaced), Candidates: r.candidates()}
}

// Restore makes a content the current one of a resource, with the history from before a restart. It must be called before any update of the
// resource is received. Bounds hold as for updates: the oldest contents beyond them are forgotten.
func (o *Orderer) Restore(name string, current Content, history History) {
	r := &resource{current: current, isSet: true, reinstated: history.Reinstated}
	r.replaced = slices.Clone(history.Replaced[max(0, len(history.Replaced)-maxReplaced):])
	r.unresolved = slices.Clone(history.Candidates[max(0, len(history.Candidates)-maxUnresolved):])
	o.resources[name] = r
	if current.Digest == Absent {
		o.forgetOldestAbsent(name)
	}
}
