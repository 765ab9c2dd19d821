package membership

import (
	"slices"
	"strings"
	"time"
)

// State is the state of a member, as a process sees it.
type State uint8

// The states. Only this process itself can be Isolated: it does not exchange messages with a majority.
const (
	Alive State = iota
	Suspect
	ReportsIsolation // the member reports that it is isolated
	Unreachable      // this process suspects it, and a majority receives nothing from it; not yet removed
	Isolated
	Dead
	Left
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "deaf", "mute", "isolated", "dead", "left"}[s]
}

// Change is an event that Ready returns. Exactly one of View, Removed, NameTaken, Violation and Member is set.
type Change struct {
	View            *View    // installed, and in force from now on
	Removed         bool     // this process has left its view
	Reason          string   // why, if Removed is set
	Member          Member   // the member whose state has changed
	State           State    // the new state of Member
	UnreachableFrom []string // the members that receive no messages from Member, as far as this process knows
	NameTaken       bool     // a member of the fleet has the name of this process
	Violation       string   // the invariant that was violated
}

// Departed is a former member that has left or was removed.
type Departed struct {
	Member     Member
	At         time.Duration // when this process installed the first view without it
	Left       bool          // whether it had announced its departure
	ViewNumber uint64        // number of the first view without it
}

// Status is the status of one member, as a process sees it.
type Status struct {
	Member           Member
	State            State
	UnreachableFrom  []string      // the members that receive no messages from it, by their own reports
	SinceLastMessage time.Duration // of a departed member: since its departure
	LossRatio        float64       // smoothed ratio of its heartbeats that are lost
}

// Status returns the status of all members and of those that departed less than departedTTL ago, ordered by name.
func (c *Core) Status() []Status {
	if c.view == nil {
		return nil
	}
	var all []Status
	unreachableFrom := c.unreachableFrom()
	for i := range c.view.Members {
		all = append(all, c.memberStatus(i, unreachableFrom[i]))
	}
	for name, departed := range c.departed {
		if c.now-departed.At > c.heartbeats(departedTTL) {
			delete(c.departed, name)
			continue
		}
		status := Status{Member: departed.Member, State: Dead, SinceLastMessage: c.now - departed.At}
		if departed.Left {
			status.State = Left
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b Status) int { return strings.Compare(a.Member.Name, b.Member.Name) })
	return all
}

// memberStatus returns the status of the member at an index.
func (c *Core) memberStatus(i int, unreachableFrom []string) Status {
	status := Status{Member: c.view.Members[i], UnreachableFrom: unreachableFrom}
	link := c.links[i]
	if link == nil {
		if c.IsIsolated() {
			status.State = Isolated
		}
		return status
	}
	status.SinceLastMessage = c.now - link.lastMessage
	status.LossRatio = link.lossRatio
	switch {
	case link.isolatedSince > 0:
		status.State = ReportsIsolation
	case link.suspectedSince > 0 && len(unreachableFrom) >= c.view.Majority():
		status.State = Unreachable
	case link.suspectedSince > 0 || len(unreachableFrom) > len(c.observers[i])/2:
		status.State = Suspect
	}
	return status
}

// reportStates adds a change for each member whose state has changed.
func (c *Core) reportStates() {
	for _, s := range c.Status() {
		if c.reportedStates[s.Member.Name] != s.State {
			c.reportedStates[s.Member.Name] = s.State
			c.changes = append(c.changes, Change{Member: s.Member, State: s.State, UnreachableFrom: s.UnreachableFrom})
		}
	}
}

// unreachableFrom returns for each member, by index, the names of the members that receive no messages from it. It uses the current
// rows of the other members, and this process's own observations.
func (c *Core) unreachableFrom() [][]string {
	names := make([][]string, len(c.links))
	for i, link := range c.links {
		name := c.view.Members[i].Name
		if link == nil {
			for _, subject := range c.subjects {
				if !c.isReachable(c.links[subject]) {
					names[subject] = append(names[subject], name)
				}
			}
			continue
		}
		if c.hasCurrentRow(link) {
			addRow(names, i, name, link.unreachable)
		}
	}
	return names
}

// addRow adds the name of member i to the lists of the members in its row. A row may hold an index twice, or one that is out of
// range.
func addRow(names [][]string, i int, name string, row []uint16) {
	for _, j := range row {
		if int(j) >= len(names) || int(j) == i {
			continue
		}
		if last := len(names[j]) - 1; last < 0 || names[j][last] != name {
			names[j] = append(names[j], name)
		}
	}
}

// hasCurrentRow reports whether the last row of a member is recent enough to be used.
func (c *Core) hasCurrentRow(link *peerLink) bool {
	return c.now-link.rowUpdatedAt < 2*c.reachableWindow()
}
