package distribution

import (
	"cmp"
	"slices"

	"silvertrail/internal/controlplane/records"
)

// Status is how far a subscriber is.
type Status struct {
	Subscribed int // names; of one that has asked for everything: all there are
	Behind     int // of these, those that it has not acknowledged as this machine has them
	Refused    int // of these, those that it has refused
	Ahead      int // names of which it has a newer version, from a machine that this one has not heard
	Waiting    bool
	InFlight   bool // a response that it has not answered
}

// VersionLag is how many subscribers are behind in a version, as they have not acknowledged all of it that they asked for.
type VersionLag struct {
	Version records.Version
	Behind  int
}

// Rejection is a refusal with its subscriber.
type Rejection struct {
	*Subscriber
	Kind Kind
	Name string
	Nack
}

// Statuses tells how far each subscriber is, the versions that any is behind in, the newest first, and what was refused. Most
// bounds what is told of refusals.
func (d *Distributor) Statuses(most int) (by map[*Subscriber]Status, lags []VersionLag, refused []Rejection) {
	by = map[*Subscriber]Status{}
	behind := map[records.Version]int{}
	for s := range d.subscribers {
		st := Status{Waiting: s.queued}
		in := map[records.Version]bool{}
		for k := range Kinds {
			sub := &s.subscriptions[k]
			st.InFlight = st.InFlight || sub.nonce != ""
			look := func(n string, o ResourceVersion) {
				st.Subscribed++
				has, is := sub.acknowledged[n]
				if has.Compare(o.Version) > 0 {
					st.Ahead++
				}
				if has.Compare(o.Version) < 0 && !(o.Removed && !is && !sub.names[n]) {
					st.Behind++
					if k != Records {
						in[o.Version] = true
					}
				}
			}
			if sub.wildcard {
				for n, o := range d.catalog.All(k) {
					look(n, o)
				}
			} else {
				for n := range sub.names {
					if o, ok := d.catalog.Find(k, n); ok {
						look(n, o)
					} else {
						st.Subscribed++
					}
				}
			}
			for n, r := range sub.nacked {
				if o, ok := d.catalog.Find(k, n); ok && o.Version == r.Version {
					st.Refused++
					refused = append(refused, Rejection{s, k, n, r})
				}
			}
		}
		for v := range in {
			behind[v]++
		}
		by[s] = st
	}
	for v, n := range behind {
		lags = append(lags, VersionLag{v, n})
	}
	slices.SortFunc(lags, func(a, b VersionLag) int { return b.Version.Compare(a.Version) })
	slices.SortFunc(refused, func(a, b Rejection) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Subscriber.Name, b.Subscriber.Name), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return by, lags, refused[:min(len(refused), most)]
}
