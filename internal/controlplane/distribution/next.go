package distribution

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"silvertrail/internal/controlplane/records"
)

// Response is what is to be sent.
type Response struct {
	Kind     Kind
	Nonce    string
	Names    []string // there
	Removed  []string // removed
	Bytes    int      // about
	Complete bool     // nothing more of the kind is owed
}

// Next returns what is to be sent to a subscriber now; ok is false where nothing is.
func (d *Distributor) Next(now time.Time, s *Subscriber) (r Response, ok bool) {
	for k := range Kinds {
		sub := &s.subscriptions[k]
		if !sub.started || sub.nonce != "" || !d.open && k != Records {
			continue
		}
		if r, ok = d.nextOfKind(now, s, k); ok {
			return r, true
		}
	}
	return r, false
}

func (d *Distributor) nextOfKind(now time.Time, s *Subscriber, k Kind) (r Response, ok bool) {
	sub := &s.subscriptions[k]
	sent := map[string]records.Version{}
	lone := false // what is sent goes by itself
	r.Kind = k
	// take adds those of a set that the subscriber lacks, as long as there is room.
	take := func(from map[string]bool, single bool) {
		for _, n := range slices.Sorted(maps.Keys(from)) {
			if !d.isOutdated(k, sub, n) {
				delete(from, n)
				delete(sub.oneByOne, n)
				continue
			}
			if sub.oneByOne[n] != single {
				continue
			}
			o, _ := d.catalog.Find(k, n)
			if len(sent) > 0 && (single || r.Bytes+o.Bytes > d.limits.MaxResponseBytes) {
				return
			}
			delete(from, n)
			delete(sub.oneByOne, n)
			sent[n], lone = o.Version, single
			if r.Bytes += o.Bytes; o.Removed {
				r.Removed = append(r.Removed, n)
			} else {
				r.Names = append(r.Names, n)
			}
		}
	}
	take(sub.changed, false)
	if len(sent) == 0 {
		take(sub.changed, true)
	}
	if len(sub.initial) > 0 && !s.Peer && !s.granted {
		d.enqueue(now, s)
		d.Step(now)
	}
	if len(sub.initial) > 0 && len(sub.changed) == 0 && !lone && (s.Peer || s.granted) {
		take(sub.initial, false)
		if len(sent) == 0 {
			take(sub.initial, true)
		}
		s.granted = false
	}
	sign := s.keepaliveDue && !s.contacted
	if len(sent) == 0 && !(sub.responseDue && len(sub.initial) == 0) && !sign {
		return r, false
	}
	s.lastNonce++
	r.Nonce = fmt.Sprint(s.lastNonce)
	r.Complete = len(sub.initial)+len(sub.changed) == 0
	sub.nonce, sub.sent, sub.sentSeveral = r.Nonce, sent, len(sent) > 1
	sub.responseDue, s.contacted = false, true
	return r, true
}

// estimate is how many bytes of a first state a subscriber would be sent next.
func (d *Distributor) estimate(s *Subscriber) (bytes int) {
	for k := range Kinds {
		for n := range s.subscriptions[k].initial {
			if o, ok := d.catalog.Find(k, n); ok {
				bytes += o.Bytes
			}
			if bytes >= d.limits.MaxResponseBytes {
				return d.limits.MaxResponseBytes
			}
		}
		if bytes > 0 {
			return bytes
		}
	}
	return 0
}
