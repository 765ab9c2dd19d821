package membership

import "slices"

// DiagnosisKind is a kind of network fault. The values are part of the status that operators see, and of metrics.
type DiagnosisKind string

// The kinds of diagnoses.
const (
	DiagnosisReceivesNothing DiagnosisKind = "deaf"    // a member receives nothing from most others, which receive its messages
	DiagnosisSendsNothing    DiagnosisKind = "mute"    // most others receive nothing from a member that receives their messages
	DiagnosisUnreachable     DiagnosisKind = "gone"    // like "mute", but the member receives nothing either, or has no current row
	DiagnosisPair            DiagnosisKind = "pair"    // two members receive nothing from each other
	DiagnosisOneWay          DiagnosisKind = "one way" // the first member receives nothing from the second, which receives its messages
	DiagnosisPartition       DiagnosisKind = "part"    // several members are cut off together
)

// Diagnosis is a fault of the network between members.
type Diagnosis struct {
	Kind DiagnosisKind `json:"kind"`
	// Members are the affected members. DiagnosisOneWay: the one that receives nothing, then the other. DiagnosisPartition: all
	// that are cut off.
	Members []string `json:"who"`
}

// Reachability returns the names of the members that each member receives no messages from, and the diagnoses that follow. A member
// without a current row is left out: this process may not receive its messages. Large fleets get no diagnoses.
func (c *Core) Reachability() (rows map[string][]string, diagnoses []Diagnosis) {
	if c.view == nil {
		return nil, nil
	}
	m := c.reachabilityMatrix()
	rows = map[string][]string{}
	for i, reported := range m.reported {
		if reported {
			rows[m.names[i]] = m.unreachableNames(i)
		}
	}
	if len(m.names) > fullMeshMembers {
		return rows, nil
	}
	return rows, m.diagnose()
}

// reachabilityMatrix holds which member receives no messages from which other one, by index in the view.
type reachabilityMatrix struct {
	names    []string
	reported []bool   // whether this process has a current row of the member
	missing  [][]bool // missing[a][b]: a receives nothing from b
}

// reachabilityMatrix builds the matrix from this process's own observations and the current rows of the other members.
func (c *Core) reachabilityMatrix() *reachabilityMatrix {
	n := len(c.view.Members)
	m := &reachabilityMatrix{reported: make([]bool, n), missing: make([][]bool, n)}
	for i, link := range c.links {
		m.names = append(m.names, c.view.Members[i].Name)
		m.missing[i] = make([]bool, n)
		switch {
		case link == nil:
			m.reported[i] = true
			for _, j := range c.subjects {
				m.missing[i][j] = !c.isReachable(c.links[j])
			}
		case c.hasCurrentRow(link):
			m.reported[i] = true
			for _, j := range link.unreachable {
				if int(j) < n {
					m.missing[i][j] = true
				}
			}
		}
	}
	return m
}

// unreachableNames returns the names of the members that member i receives no messages from.
func (m *reachabilityMatrix) unreachableNames(i int) []string {
	row := []string{}
	for j, isMissing := range m.missing[i] {
		if isMissing {
			row = append(row, m.names[j])
		}
	}
	return row
}

// diagnose returns the faults of single members first, and then the faults of pairs in which neither member has such a fault.
func (m *reachabilityMatrix) diagnose() []Diagnosis {
	var diagnoses []Diagnosis
	explained := make([]bool, len(m.names))
	var faulty []string
	for i, name := range m.names {
		if kind, found := m.diagnoseMember(i); found {
			explained[i] = true
			faulty = append(faulty, name)
			diagnoses = append(diagnoses, Diagnosis{kind, []string{name}})
		}
	}
	if len(faulty) > 1 { // several unreachable members without other faults are one partition
		diagnoses = slices.DeleteFunc(diagnoses, func(d Diagnosis) bool { return d.Kind == DiagnosisUnreachable })
		if len(diagnoses) == 0 {
			diagnoses = append(diagnoses, Diagnosis{DiagnosisPartition, faulty})
		}
	}
	return append(diagnoses, m.diagnosePairs(explained)...)
}

// diagnoseMember returns the fault of one member that affects its connections to most others, if there is one.
func (m *reachabilityMatrix) diagnoseMember(i int) (kind DiagnosisKind, found bool) {
	doesNotReceive, isNotReceived, reporters := 0, 0, 0
	for j := range m.names {
		if j == i {
			continue
		}
		if m.missing[i][j] {
			doesNotReceive++
		}
		if m.reported[j] {
			reporters++
			if m.missing[j][i] {
				isNotReceived++
			}
		}
	}
	receivesNothing := m.reported[i] && doesNotReceive > (len(m.names)-1)/2
	sendsNothing := reporters > 0 && 2*isNotReceived > reporters
	switch {
	case sendsNothing && (!m.reported[i] || receivesNothing):
		return DiagnosisUnreachable, true
	case sendsNothing:
		return DiagnosisSendsNothing, true
	case receivesNothing:
		return DiagnosisReceivesNothing, true
	}
	return "", false
}

// diagnosePairs returns the faults between two members that other diagnoses do not explain.
func (m *reachabilityMatrix) diagnosePairs(explained []bool) []Diagnosis {
	var diagnoses []Diagnosis
	for a := range m.names {
		for b := range m.names {
			if a == b || explained[a] || explained[b] || !m.missing[a][b] {
				continue
			}
			switch {
			case m.missing[b][a] && a < b:
				diagnoses = append(diagnoses, Diagnosis{DiagnosisPair, []string{m.names[a], m.names[b]}})
			case !m.missing[b][a] && m.reported[b]:
				diagnoses = append(diagnoses, Diagnosis{DiagnosisOneWay, []string{m.names[a], m.names[b]}})
			}
		}
	}
	return diagnoses
}
