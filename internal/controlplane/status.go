package controlplane

import (
	"cmp"
	"slices"

	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/xds/ads"
)

const maxReportedRejections = 1000 // that are told

// Status tells how this machine stands.
func (s *Server) Status() api.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	there, removed := s.store.Counts()
	out := api.Status{Name: s.options.Name, Ready: s.distributor.IsOpen(), Counter: s.store.Counter(), Clusters: there[ads.Clusters], Sets: there[ads.Sets],
		Removed: removed, Messages: s.messageCount, Bytes: s.byteCount, Waiting: s.distributor.Waiting()}
	by, lags, refused := s.distributor.Statuses(maxReportedRejections)
	follows := map[string]int{} // records that a peer is behind in
	for sub, st := range by {
		if sub.Peer {
			follows[sub.Name] = st.Behind
		}
		of := s.streams[sub]
		out.Subscribers = append(out.Subscribers, api.Subscriber{Node: sub.Name, Address: of.address, Since: of.since, Peer: sub.Peer,
			Subscribed: st.Subscribed, Behind: st.Behind, Rejected: st.Refused, Ahead: st.Ahead, InFlight: st.InFlight, Messages: of.messageCount, Bytes: of.byteCount})
	}
	slices.SortFunc(out.Subscribers, func(a, b api.Subscriber) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Address, b.Address))
	})
	for _, l := range lags {
		out.Versions = append(out.Versions, api.Version{Version: l.Version.String(), Behind: l.Behind})
	}
	for _, r := range refused {
		out.Rejections = append(out.Rejections, api.Rejection{Node: r.Subscriber.Name, Kind: r.Kind.String(), Name: r.Name, Version: r.Version.String(), Reason: r.Reason, At: r.At})
	}
	for _, o := range s.options.Peers {
		p := s.peers[o.Name]
		behind, is := follows[o.Name]
		out.Peers = append(out.Peers, api.PeerStatus{Name: o.Name, State: p.state, LastMessage: p.lastMessage, Synced: p.synced, Subscribed: is, Behind: behind, Fault: p.fault})
	}
	for _, c := range s.store.Conflicts() {
		out.Conflicts = append(out.Conflicts, api.Conflict{Kind: c.Kind.String(), Name: c.Name, Winner: c.Winner.String(), Loser: c.Loser.String(), At: c.At})
	}
	for _, k := range s.store.DanglingClusters() {
		out.Dangling = append(out.Dangling, k.Name)
	}
	return out
}
