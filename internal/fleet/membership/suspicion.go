package membership

import (
	"slices"
	"strings"
	"time"
)

// initialCollectors is the number of members that collect reports at first. While a change is pending, the number doubles every
// unstableDelay, as the first collectors may have failed together.
const initialCollectors = 5

// suspicionReport is the last report of an observer, at a collector.
type suspicionReport struct {
	receivedAt time.Duration
	suspects   map[Member]bool
}

// activeCollectors returns the members that reports are sent to, by index in the view, in order of preference.
func (c *Core) activeCollectors() []int {
	n := initialCollectors
	if c.changePendingSince > 0 {
		for waited := c.now - c.changePendingSince; waited > c.heartbeats(unstableDelay) && n < len(c.collectors); waited -= c.heartbeats(unstableDelay) {
			n *= 2
		}
	}
	return c.collectors[:min(n, len(c.collectors))]
}

// suspects returns the members that this process suspects: subjects that answer no ping, and subjects that have reported for
// pingAfter that they are isolated.
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

// sendReport reports suspects, joins and departures to the collectors. Reports are repeated with every heartbeat. An entry that is
// not repeated stops counting.
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

// currentJoins returns the candidates to report, and discards those whose request has expired.
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

// currentDepartures returns the departing members to report, and discards those whose announcement has expired.
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

// handleReport records an observer's report. Suspicions of members that the sender does not observe are ignored.
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

// currentSuspicions returns the suspicions of all reports that have not expired, without those that do not count.
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

// discardFromSuspects drops the suspicions of an observer that enough others suspect, and that more observers suspect than the
// member that it suspects. Such an observer may itself be the one that is cut off.
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

// addSuspectedObservers counts observers that are themselves suspected, by the low watermark, as suspecting each member that
// another observer suspects: they may be unable to report.
func (c *Core) addSuspectedObservers(found suspicions) {
	suspected := map[int]bool{}
	for suspect, by := range found {
		if low, _ := watermarks(len(c.observers[suspect])); len(by) >= low {
			suspected[suspect] = true
		}
	}
	for suspect := range found {
		for _, observer := range c.observers[suspect] {
			if suspected[observer] && !slices.Contains(found[suspect], observer) {
				found[suspect] = append(found[suspect], observer)
			}
		}
	}
}

// proposeDueChange proposes the next view if a change is due. The change removes the members that enough observers suspect and
// those that leave, and adds the candidates. It is delayed by batchDelay to combine changes, or by unstableDelay while a member is
// suspected by too few observers.
func (c *Core) proposeDueChange() {
	if len(c.reports) == 0 && len(c.joining) == 0 && len(c.departing) == 0 {
		return
	}
	position := slices.Index(c.activeCollectors(), c.view.Index(c.options.Self.Name))
	if position < 0 || c.isSuspicionPaused() && !c.leaving && len(c.view.Members) > 1 {
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
	// The first collector that stays a member proposes. Each further one waits longer, and proposes only if those before it do not.
	wait += c.heartbeats(float64(2 * c.reachableCollectorsBefore(position, delta)))
	if c.now-c.changePendingSince >= wait && !c.proposal.inProgress(c) {
		c.startProposal(delta)
	}
}

// reachableCollectorsBefore returns how many collectors before a position are expected to propose a change.
func (c *Core) reachableCollectorsBefore(position int, delta *Delta) int {
	count := 0
	for _, i := range c.collectors[:position] {
		if !c.isSelf(i) && c.isReachable(c.links[i]) && !slices.Contains(delta.Remove, c.view.Members[i]) {
			count++
		}
	}
	return count
}

// dueChange returns the change that follows from the reports. It is unstable while a member is suspected by enough observers for the
// low watermark, but not for the high one.
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

// addCandidates adds the candidates whose names are free after the change, while the view has room for them.
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
