package membership

import (
	"slices"
	"strings"
	"time"
)

// State is what a process believes of a member.
type State uint8

// The states. Isolated is a process's belief of itself only: it reaches no majority, or is reached by none.
const (
	Alive State = iota
	Suspect
	ReportsIsolation // it reports that it is isolated
	Unreachable      // no member of this part reaches it, and it has not been removed yet
	Isolated
	Dead
	Left
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "deaf", "mute", "isolated", "dead", "left"}[s]
}

// Change is an event that Ready returns. Exactly one of View, Removed, NameTaken, Violation and Member is set.
type Change struct {
	View            *View  // in force from now on
	Removed         bool   // this process is in no view any more
	Reason          string // of Removed
	Member          Member // whose state has changed
	State           State
	UnreachableFrom []string // Suspect, Unreachable: the members that do not reach it, as far as is known here
	NameTaken       bool     // another process has this one's name
	Violation       string   // of an invariant
}

// Departed is a member that is in no view any more.
type Departed struct {
	Member     Member
	At         time.Duration
	Left       bool   // it had announced its departure
	ViewNumber uint64 // of the first view without it
}

// Status is what a process believes of a member, and why.
type Status struct {
	Member           Member
	State            State
	UnreachableFrom  []string // the members that do not reach it, by their own reports
	SinceLastMessage time.Duration
	LossRatio        float64 // of its heartbeats
}

// Status returns the status of all members and of those that have departed lately, by name.
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

// unreachableFrom returns for each member, by index, the names of the members that do not reach it: by their last rows, and
// this process by what it observes.
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

// addRow adds the name of member i to those that do not reach the members of its row, which may hold one member twice.
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

// hasCurrentRow reports whether what a member does not reach is known and current.
func (c *Core) hasCurrentRow(link *peerLink) bool {
	return c.now-link.rowUpdatedAt < 2*c.reachableWindow()
}
