package membership

import (
	"slices"
	"time"
)

// State is what a process believes of a member.
type State uint8

// The states. Of itself a process can say that it is isolated: it hears no majority, or is heard by none.
const (
	Alive State = iota
	Suspect
	ReportsIsolation // it says itself that it hears no majority
	Unreachable      // nobody here hears it, by their own rows, and it has not been taken out yet
	Isolated
	Dead
	Left
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "deaf", "mute", "isolated", "dead", "left"}[s]
}

// Change is something that has changed. Just one of its parts is set.
type Change struct {
	View            *View  // in force from now on
	Removed         bool   // this process is in no view any more
	Reason          string // Out: for what reason
	Member          Member // whose state has changed
	State           State
	UnreachableFrom []string // Suspect: who accuses it, as far as is known here
	NameTaken       bool     // another process has this one's name
	Violation       string   // what must never be
}

// Departed is a member that is out.
type Departed struct {
	Member     Member
	At         time.Duration
	Left       bool
	ViewNumber uint64 // that it is out by
}

// Status is what a process believes of a member, and why.
type Status struct {
	Member           Member
	State            State
	UnreachableFrom  []string      // who does not hear it, by their own rows
	SinceLastMessage time.Duration // since its last word
	LossRatio        float64       // part of its beats that do not come
}

// Status returns what is believed of all members, and of those that are out since a while.
func (c *Core) Status() (out []Status) {
	if c.view == nil {
		return nil
	}
	missing := c.unreachableFrom()
	for i, m := range c.view.Members {
		s := Status{Member: m, UnreachableFrom: missing[i]}
		l := c.links[i]
		if l == nil {
			if c.IsIsolated() {
				s.State = Isolated
			}
			out = append(out, s)
			continue
		}
		s.SinceLastMessage, s.LossRatio = c.now-l.lastMessage, l.lossRatio
		switch {
		case l.isolatedSince > 0:
			s.State = ReportsIsolation
		case l.suspectedSince > 0 && len(s.UnreachableFrom) >= c.view.Majority():
			s.State = Unreachable
		case l.suspectedSince > 0 || len(s.UnreachableFrom) > len(c.observers[i])/2:
			s.State = Suspect
		}
		out = append(out, s)
	}
	for name, g := range c.departed {
		if c.now-g.At > c.heartbeats(departedTTL) {
			delete(c.departed, name)
			continue
		}
		s := Status{Member: g.Member, State: Dead, SinceLastMessage: c.now - g.At}
		if g.Left {
			s.State = Left
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Status) int {
		if a.Member.Name < b.Member.Name {
			return -1
		}
		return 1
	})
	return out
}

// unreachableFrom returns for each member, by places in the view, those who do not hear it: by their last rows, and me.
func (c *Core) unreachableFrom() [][]string {
	by := make([][]string, len(c.links))
	for j, l := range c.links {
		name := c.view.Members[j].Name
		if l == nil {
			for _, i := range c.subjects {
				if c.now-c.links[i].lastMessage >= c.reachableWindow() {
					by[i] = append(by[i], name)
				}
			}
			continue
		}
		if c.now-l.rowAt >= 2*c.reachableWindow() {
			continue
		}
		for _, i := range l.unreachable {
			if int(i) < len(by) && int(i) != j && (len(by[i]) == 0 || by[i][len(by[i])-1] != name) { // a row may name one twice
				by[i] = append(by[i], name)
			}
		}
	}
	return by
}

// reportStates raises the states that have changed.
func (c *Core) reportStates() {
	for _, s := range c.Status() {
		if c.reportedStates[s.Member.Name] != s.State {
			c.reportedStates[s.Member.Name] = s.State
			c.changes = append(c.changes, Change{Member: s.Member, State: s.State, UnreachableFrom: s.UnreachableFrom})
		}
	}
}

// Diagnosis names a trouble on the ways between members.
type Diagnosis struct {
	Kind    string   `json:"kind"` // "deaf", "mute", "gone", "pair", "one way", "part"
	Members []string `json:"who"`  // pair: both; one way: who does not hear, and whom; part: all of the smaller one
}

// Reachability tells who does not hear whom, by the rows that have come, and what that is taken for. Of a member that does not
// hear me I may know nothing.
func (c *Core) Reachability() (rows map[string][]string, found []Diagnosis) {
	if c.view == nil {
		return nil, nil
	}
	n := len(c.view.Members)
	deafTo := make([][]bool, n) // deafTo[a][b]: a does not hear b
	told := make([]bool, n)
	rows = map[string][]string{}
	for a, l := range c.links {
		deafTo[a] = make([]bool, n)
		switch {
		case l == nil:
			told[a] = true
			for _, b := range c.subjects {
				deafTo[a][b] = c.now-c.links[b].lastMessage >= c.reachableWindow()
			}
		case c.now-l.rowAt < 2*c.reachableWindow():
			told[a] = true
			for _, b := range l.unreachable {
				if int(b) < n {
					deafTo[a][b] = true
				}
			}
		}
		if told[a] {
			row := []string{}
			for b, is := range deafTo[a] {
				if is {
					row = append(row, c.view.Members[b].Name)
				}
			}
			rows[c.view.Members[a].Name] = row
		}
	}
	if n > fullMeshMembers {
		return rows, nil
	}
	return rows, c.diagnose(deafTo, told)
}

// diagnose says what a matrix is taken for.
func (c *Core) diagnose(deafTo [][]bool, told []bool) (found []Diagnosis) {
	n := len(told)
	names := func(of ...int) (out []string) {
		for _, i := range of {
			out = append(out, c.view.Members[i].Name)
		}
		return out
	}
	tellers := 0
	for _, is := range told {
		if is {
			tellers++
		}
	}
	explained := make([]bool, n)
	for x := range n {
		hears, heard := 0, 0 // by how many of the others it is not
		for y := range n {
			if y == x {
				continue
			}
			if deafTo[x][y] {
				hears++
			}
			if told[y] && deafTo[y][x] {
				heard++
			}
		}
		others := tellers
		if told[x] {
			others--
		}
		deaf, mute := told[x] && hears > (n-1)/2, others > 0 && 2*heard > others
		switch {
		case mute && (!told[x] || deaf):
			explained[x] = true
			found = append(found, Diagnosis{"gone", names(x)})
		case mute:
			explained[x] = true
			found = append(found, Diagnosis{"mute", names(x)})
		case deaf:
			explained[x] = true
			found = append(found, Diagnosis{"deaf", names(x)})
		}
	}
	lost := 0
	var part []int
	for x, f := range explained {
		if f {
			lost++
			part = append(part, x)
		}
	}
	if lost > 1 { // several at once that none of the others hears: one cut, not many
		found = slices.DeleteFunc(found, func(f Diagnosis) bool { return f.Kind == "gone" })
		if len(found) == 0 {
			found = append(found, Diagnosis{"part", names(part...)})
		}
	}
	for a := range n {
		for b := range n {
			if a == b || explained[a] || explained[b] || !deafTo[a][b] {
				continue
			}
			switch {
			case deafTo[b][a] && a < b:
				found = append(found, Diagnosis{"pair", names(a, b)})
			case !deafTo[b][a] && told[b]:
				found = append(found, Diagnosis{"one way", names(a, b)})
			}
		}
	}
	return found
}
