package distribution

import (
	"cmp"
	"slices"

	"silvertrail/internal/controlplane/records"
)

// Status is the progress of a subscriber.
type Status struct {
	Subscribed int // number of names; for a wildcard: of all resources
	Behind     int // names whose current version is not acknowledged
	Rejected   int // names whose current version the subscriber has rejected
	Ahead      int // names that the subscriber has in a newer version, from a server that this one has not synced with
	Waiting    bool
	InFlight   bool // the subscriber has not answered a response
}

// VersionLag is the number of subscribers that have not acknowledged all the resources of a version that they subscribe to.
type VersionLag struct {
	Version records.Version
	Behind  int
}

// Rejection is a rejected version with its subscriber.
type Rejection struct {
	*Subscriber
	Kind Kind
	Name string
	Nack
}

// Report is the progress of all subscribers.
type Report struct {
	Statuses   map[*Subscriber]Status
	Lags       []VersionLag // one for each version that any subscriber is behind in, newest first
	Rejections []Rejection  // newest first
}

// Report returns the progress of all subscribers, with a bounded number of rejections.
func (d *Distributor) Report(maxRejections int) Report {
	report := Report{Statuses: map[*Subscriber]Status{}}
	behind := map[records.Version]int{}
	for s := range d.subscribers {
		progress := d.progressOf(s)
		report.Statuses[s] = progress.status
		report.Rejections = append(report.Rejections, progress.rejections...)
		for v := range progress.outdated {
			behind[v]++
		}
	}
	for v, n := range behind {
		report.Lags = append(report.Lags, VersionLag{Version: v, Behind: n})
	}
	slices.SortFunc(report.Lags, func(a, b VersionLag) int { return b.Version.Compare(a.Version) })
	slices.SortFunc(report.Rejections, func(a, b Rejection) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Subscriber.Name, b.Subscriber.Name), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	report.Rejections = report.Rejections[:min(len(report.Rejections), maxRejections)]
	return report
}

// progress is the status of one subscriber with its details.
type progress struct {
	status     Status
	outdated   map[records.Version]bool // versions of which a resource is not acknowledged
	rejections []Rejection
}

func (d *Distributor) progressOf(s *Subscriber) progress {
	p := progress{status: Status{Waiting: s.queued}, outdated: map[records.Version]bool{}}
	for k := range KindCount {
		sub := &s.subscriptions[k]
		p.status.InFlight = p.status.InFlight || sub.nonce != ""
		d.addSubscribed(&p, k, sub)
		for name, nack := range sub.nacked {
			if current, ok := d.catalog.Find(k, name); ok && current.Version == nack.Version {
				p.status.Rejected++
				p.rejections = append(p.rejections, Rejection{Subscriber: s, Kind: k, Name: name, Nack: nack})
			}
		}
	}
	return p
}

// addSubscribed adds the resources that a subscription names, or all of the kind.
func (d *Distributor) addSubscribed(p *progress, k Kind, sub *subscription) {
	if sub.wildcard {
		for name, current := range d.catalog.All(k) {
			p.addResource(k, sub, name, current)
		}
		return
	}
	for name := range sub.names {
		if current, ok := d.catalog.Find(k, name); ok {
			p.addResource(k, sub, name, current)
		} else {
			p.status.Subscribed++
		}
	}
}

func (p *progress) addResource(k Kind, sub *subscription, name string, current ResourceVersion) {
	p.status.Subscribed++
	acknowledged, known := sub.acknowledged[name]
	switch order := acknowledged.Compare(current.Version); {
	case order > 0:
		p.status.Ahead++
	case order == 0:
	case current.Removed && !known && !sub.names[name]: // the subscriber never had the resource, and does not wait for it
	default:
		p.status.Behind++
		if k != Records {
			p.outdated[current.Version] = true
		}
	}
}
