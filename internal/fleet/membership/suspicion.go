package membership

import (
	"slices"
	"strings"
	"time"
)

// initialCollectors is how many members collect reports at first. While no view follows, the number doubles every
// unstableDelay, as the first ones may have failed together.
const initialCollectors = 5

// suspicionReport is what an observer has reported to a collector last.
type suspicionReport struct {
	receivedAt time.Duration
	suspects   map[Member]bool
}

// activeCollectors returns the members that reports go to, by index in the view.
func (c *Core) activeCollectors() []int {
	n := initialCollectors
	if c.changePendingSince > 0 {
		for waited := c.now - c.changePendingSince; waited > c.heartbeats(unstableDelay) && n < len(c.collectors); waited -= c.heartbeats(unstableDelay) {
			n *= 2
		}
	}
	return c.collectors[:min(n, len(c.collectors))]
}

// suspects returns the members that this process suspects: those that answer nothing, and those that report that they are
// isolated.
func (c *Core) suspects() []Member {
	if c.isSuspicionPaused() {
		return nil
	}
	var members []Member
	for _, i := range c.subjects {
		link := c.links[i]
		isolated := link.isolatedSince > 0 && c.now-link.isolatedSince >= c.heartbeats(pingAfter)
		if link.suspectedSince > 0 || isolated {
			members = append(members, c.view.Members[i])
		}
	}
	return members[:min(len(members), maxReportMembers)]
}

// sendReport reports suspects, joins and departures to the collectors. It is repeated with every heartbeat: what is not
// repeated counts no more.
func (c *Core) sendReport() {
	m := Message{
		Kind:      Report,
		Suspects:  c.suspects(),
		Joining:   c.currentJoins(),
		Departing: c.currentDepartures(),
	}
	if len(m.Suspects)+len(m.Joining)+len(m.Departing) == 0 {
		if len(c.reports) == 0 {
			c.changePendingSince = 0
		}
		return
	}
	if c.changePendingSince == 0 {
		c.changePendingSince = c.now
	}
	for _, i := range c.activeCollectors() {
		report := m
		if c.isSelf(i) {
			report.From = c.options.Self
			c.handleReport(&report)
			continue
		}
		c.send(c.view.Members[i], &report)
	}
}

// currentJoins returns the candidates to report, and forgets those whose request has expired.
func (c *Core) currentJoins() []Member {
	var members []Member
	for m, until := range c.joining {
		if until < c.now {
			delete(c.joining, m)
		} else if len(members) < maxReportMembers {
			members = append(members, m)
		}
	}
	return members
}

// currentDepartures returns the departing members to report, and forgets those whose announcement has expired.
func (c *Core) currentDepartures() []Member {
	var members []Member
	for m, until := range c.departing {
		if until < c.now {
			delete(c.departing, m)
		} else if len(members) < maxReportMembers && c.view.Contains(m) {
			members = append(members, m)
		}
	}
	return members
}

// handleReport records an observer's report. Suspicions count only of members that it observes.
func (c *Core) handleReport(m *Message) {
	observer := c.view.Index(m.From.Name)
	report := &suspicionReport{receivedAt: c.now, suspects: map[Member]bool{}}
	for _, suspect := range m.Suspects {
		if i := c.indexOf(suspect); i >= 0 && slices.Contains(c.observers[i], observer) {
			report.suspects[suspect] = true
		}
	}
	c.reports[m.From.Name] = report
	until := c.now + c.heartbeats(reportTTL)
	for _, candidate := range m.Joining {
		if !c.view.Contains(candidate) && len(c.joining) < MaxMembers {
			c.joining[candidate] = until
		}
	}
	for _, member := range m.Departing {
		if c.view.Contains(member) {
			c.departing[member] = until
		}
	}
}

// suspicions maps each suspected member to the observers that suspect it, by index in the view.
type suspicions map[int][]int

// currentSuspicions returns the suspicions that count.
func (c *Core) currentSuspicions() suspicions {
	found := suspicions{}
	for name, report := range c.reports {
		if c.now-report.receivedAt > c.heartbeats(reportTTL) {
			delete(c.reports, name)
			continue
		}
		for suspect := range report.suspects {
			i := c.view.Index(suspect.Name)
			found[i] = append(found[i], c.view.Index(name))
		}
	}
	c.discardFromSuspects(found)
	if len(c.view.Members) > fullMeshMembers {
		c.addSuspectedObservers(found)
	}
	return found
}

// discardFromSuspects drops the suspicions of observers that enough others suspect themselves: such an observer may be the one
// that is cut off.
func (c *Core) discardFromSuspects(found suspicions) {
	for suspect, by := range found {
		found[suspect] = slices.DeleteFunc(by, func(observer int) bool {
			_, high := watermarks(len(c.observers[observer]))
			return len(found[observer]) >= high && len(found[observer]) > len(by)
		})
		if len(found[suspect]) == 0 {
			delete(found, suspect)
		}
	}
}

// addSuspectedObservers counts an observer that is itself suspected as suspecting those whom another one suspects: it cannot
// report any more.
func (c *Core) addSuspectedObservers(found suspicions) {
	lost := map[int]bool{}
	for suspect, by := range found {
		if low, _ := watermarks(len(c.observers[suspect])); len(by) >= low {
			lost[suspect] = true
		}
	}
	for suspect := range found {
		for _, observer := range c.observers[suspect] {
			if lost[observer] && !slices.Contains(found[suspect], observer) {
				found[suspect] = append(found[suspect], observer)
			}
		}
	}
}

// proposeDueChange proposes the next view where one is due, with all members that enough observers suspect, that leave, and
// that join. While some members are suspected by too few observers, it waits a little for the others.
func (c *Core) proposeDueChange() {
	if len(c.reports) == 0 && len(c.joining) == 0 && len(c.departing) == 0 {
		return
	}
	place := slices.Index(c.activeCollectors(), c.view.Index(c.options.Self.Name))
	if place < 0 || c.isSuspicionPaused() && !c.leaving && len(c.view.Members) > 1 {
		return
	}
	delta, unstable := c.dueChange()
	if delta.isEmpty() {
		return
	}
	if c.changePendingSince == 0 {
		c.changePendingSince = c.now
	}
	wait := c.heartbeats(batchDelay)
	if unstable {
		wait = c.heartbeats(unstableDelay)
	}
	// The first collector that stays a member proposes; each next one only if those before it do not.
	wait += c.heartbeats(float64(2 * c.reachableCollectorsBefore(place, delta)))
	if c.now-c.changePendingSince >= wait && !c.proposal.inProgress(c) {
		c.startProposal(delta)
	}
}

// reachableCollectorsBefore returns how many collectors before a place are expected to propose a change.
func (c *Core) reachableCollectorsBefore(place int, delta *Delta) int {
	count := 0
	for _, i := range c.collectors[:place] {
		if !c.isSelf(i) && c.isReachable(c.links[i]) && !slices.Contains(delta.Remove, c.view.Members[i]) {
			count++
		}
	}
	return count
}

// dueChange returns the change that the reports ask for. It is unstable while a member is suspected by some observers, but not by
// enough.
func (c *Core) dueChange() (delta *Delta, unstable bool) {
	delta = &Delta{}
	for suspect, by := range c.currentSuspicions() {
		low, high := watermarks(len(c.observers[suspect]))
		switch {
		case len(by) >= high:
			delta.Remove = append(delta.Remove, c.view.Members[suspect])
		case len(by) >= low:
			unstable = true
		}
	}
	for member, until := range c.departing {
		if until >= c.now && c.view.Contains(member) && !slices.Contains(delta.Remove, member) {
			delta.Remove = append(delta.Remove, member)
		}
	}
	c.addCandidates(delta)
	slices.SortFunc(delta.Remove, compareNames)
	slices.SortFunc(delta.Add, compareNames)
	return delta, unstable
}

// addCandidates adds the processes that want to join and whose name is free after the change.
func (c *Core) addCandidates(delta *Delta) {
	names := map[string]bool{}
	for candidate, until := range c.joining {
		i := c.view.Index(candidate.Name)
		isFree := i < 0 || slices.Contains(delta.Remove, c.view.Members[i])
		hasRoom := len(c.view.Members)+len(delta.Add) < MaxMembers
		if until >= c.now && isFree && !names[candidate.Name] && hasRoom {
			names[candidate.Name] = true
			delta.Add = append(delta.Add, candidate)
		}
	}
}

func compareNames(a, b Member) int { return strings.Compare(a.Name, b.Name) }
