package peering

import (
	"context"
	"slices"
	"strings"
	"time"

	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
)

// SiteStatus is the status of the link to another site.
type SiteStatus struct {
	forwarding.Site
	State            string               `json:"state"`
	Address          string               `json:"address"`
	Since            time.Time            `json:"since"` // when the link of the best gateway came up or went down
	Sessions         int                  `json:"sessions"`
	LastError        string               `json:"fault,omitempty"`
	Unsettled        int                  `json:"unsettled"`
	Sent             []accounting.Counter `json:"sent"`
	Received         []accounting.Counter `json:"received"`
	Differences      []SessionDifference  `json:"differs,omitempty"`
	SessionsCompared int                  `json:"sessions_compared,omitempty"`
	Gateways         []GatewayStatus      `json:"gateways,omitempty"` // only if the site has several
}

// GatewayStatus is the status of the link to one gateway of a site.
type GatewayStatus struct {
	Address   string    `json:"address"`
	State     string    `json:"state"`
	Since     time.Time `json:"since"`
	Sessions  int       `json:"sessions"`
	Unsettled int       `json:"unsettled"`
	LastError string    `json:"fault,omitempty"`
}

// SessionDifference is a counter that differs between the two ends of a session.
type SessionDifference struct {
	Session uint64 `json:"session"`
	accounting.Difference
}

// Status returns the status of the links to all sites. With reconcile it also compares the counters with those of the remote
// gateways and includes the differences.
func (t *Transport) Status(ctx context.Context, reconcile bool) []SiteStatus {
	t.mu.Lock()
	sites := t.table.Sites()
	t.mu.Unlock()
	var out []SiteStatus
	for _, site := range sites {
		out = append(out, t.siteStatus(ctx, site, reconcile))
	}
	return out
}

// siteStatus returns the status of the link to one site.
func (t *Transport) siteStatus(ctx context.Context, site forwarding.Site, reconcile bool) SiteStatus {
	status := SiteStatus{Site: site, State: site.State.String(), Received: t.server.counters(site.Name)}
	gateways, states := t.gatewayStates(site.Name)
	var addresses, errors []string
	best := forwarding.Unavailable
	for i, g := range gateways {
		gatewayStatus, sent := g.status()
		gatewayStatus.State = states[i].String()
		status.Sent = accounting.Merge(status.Sent, sent)
		if reconcile {
			differences, compared, err := g.reconcile(ctx)
			status.Differences = append(status.Differences, differences...)
			status.SessionsCompared += compared
			if err != nil {
				gatewayStatus.LastError = err.Error()
			}
		}
		status.Sessions += gatewayStatus.Sessions
		status.Unsettled += gatewayStatus.Unsettled
		if i == 0 || states[i] > best { // Since is that of the gateway with the best state
			best, status.Since = states[i], gatewayStatus.Since
		}
		addresses = append(addresses, gatewayStatus.Address)
		if gatewayStatus.LastError != "" {
			errors = append(errors, gatewayStatus.LastError)
		}
		status.Gateways = append(status.Gateways, gatewayStatus)
	}
	status.Address = strings.Join(addresses, ", ")
	status.LastError = strings.Join(errors, "; ")
	if len(status.Gateways) < 2 {
		status.Gateways = nil
	}
	return status
}

// gatewayStates returns the gateways of a site and their states, in the same order. Disconnected gateways are Unavailable.
func (t *Transport) gatewayStates(site string) ([]*gateway, []forwarding.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gateways := slices.Clone(t.gateways[site])
	states := make([]forwarding.State, len(gateways))
	for i, g := range gateways {
		if g.availability.Connected {
			states[i] = g.availability.State
		}
	}
	return gateways, states
}
