package controlplane

import (
	"cmp"
	"slices"

	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/controlplane/distribution"
	"silvertrail/internal/xds/ads"
)

const maxReportedRejections = 1000

// Status returns the status of the server, its subscribers and its peers.
func (s *Server) Status() api.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	present, removed := s.store.Counts()
	report := s.distributor.Report(maxReportedRejections)
	status := api.Status{
		Name:         s.options.Name,
		Ready:        s.distributor.IsOpen(),
		Counter:      s.store.Counter(),
		Clusters:     present[ads.Clusters],
		EndpointSets: present[ads.Endpoints],
		Removed:      removed,
		Messages:     s.messageCount,
		Bytes:        s.byteCount,
		Waiting:      s.distributor.WaitingCount(),
		Subscribers:  s.subscriberStatuses(report),
		Peers:        s.peerStatuses(report),
	}
	for _, lag := range report.Lags {
		status.Versions = append(status.Versions, api.Version{Version: lag.Version.String(), Behind: lag.Behind})
	}
	for _, r := range report.Rejections {
		status.Rejections = append(status.Rejections, api.Rejection{
			Node: r.Subscriber.Name, Kind: r.Kind.String(), Name: r.Name, Version: r.Version.String(), Reason: r.Reason, At: r.At,
		})
	}
	for _, c := range s.store.Conflicts() {
		status.Conflicts = append(status.Conflicts, api.Conflict{
			Kind: c.Kind.String(), Name: c.Name, Winner: c.Winner.String(), Loser: c.Loser.String(), At: c.At,
		})
	}
	for _, key := range s.store.DanglingClusters() {
		status.Dangling = append(status.Dangling, key.Name)
	}
	return status
}

func (s *Server) subscriberStatuses(report distribution.Report) []api.Subscriber {
	var subscribers []api.Subscriber
	for subscriber, st := range report.Statuses {
		stream := s.streams[subscriber]
		subscribers = append(subscribers, api.Subscriber{
			Node:       subscriber.Name,
			Address:    stream.address,
			Since:      stream.since,
			Peer:       subscriber.Peer,
			Subscribed: st.Subscribed,
			Behind:     st.Behind,
			Rejected:   st.Rejected,
			Ahead:      st.Ahead,
			InFlight:   st.InFlight,
			Messages:   stream.messageCount,
			Bytes:      stream.byteCount,
		})
	}
	slices.SortFunc(subscribers, func(a, b api.Subscriber) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Address, b.Address))
	})
	return subscribers
}

func (s *Server) peerStatuses(report distribution.Report) []api.PeerStatus {
	behind := map[string]int{} // number of records, by the name of the subscribed peer
	for subscriber, st := range report.Statuses {
		if subscriber.Peer {
			behind[subscriber.Name] = st.Behind
		}
	}
	var peers []api.PeerStatus
	for _, o := range s.options.Peers {
		p := s.peers[o.Name]
		count, subscribed := behind[o.Name]
		peers = append(peers, api.PeerStatus{
			Name:        o.Name,
			State:       string(p.state),
			LastMessage: p.lastMessage,
			Synced:      p.synced,
			Subscribed:  subscribed,
			Behind:      count,
			Fault:       p.fault,
		})
	}
	return peers
}
