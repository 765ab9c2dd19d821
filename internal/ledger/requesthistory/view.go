package requesthistory

import (
	"fmt"
	"strings"
	"time"
)

// View is a request as it is told to people and programs.
type View struct {
	ID         string    `json:"id,omitempty"`
	Class      string    `json:"class,omitempty"`
	Tenant     string    `json:"tenant,omitempty"`
	Key        string    `json:"key,omitempty"`
	Hashed     bool      `json:"hashed,omitempty"` // tenant and key
	FromSite   string    `json:"from_sala,omitempty"`
	Verdict    string    `json:"verdict"`
	ReceivedAt time.Time `json:"taken"`
	Deadline   time.Time `json:"deadline,omitzero"`
	// ClockShifted tells that the time of day was set while the process ran: times before and after differ by more than they say.
	ClockShifted bool          `json:"clock_set,omitempty"`
	Attempts     []AttemptView `json:"attempts,omitempty"`
	Answer       string        `json:"answer,omitempty"` // what the caller was told
	Status       int           `json:"status,omitempty"`
	AnsweredAt   *time.Time    `json:"answered,omitempty"`
	RecordsLost  bool          `json:"records_lost,omitempty"`
	Host         string        `json:"host"`
	Process      string        `json:"process"`
}

// AttemptView is one attempt.
type AttemptView struct {
	Number   int        `json:"number"`
	Endpoint string     `json:"nodo"`
	Cluster  string     `json:"cluster,omitempty"`
	Zone     string     `json:"zone,omitempty"`
	Cell     int        `json:"cell,omitempty"`
	SentAt   time.Time  `json:"sent"` // it was about to be: by then nothing of it had gone out
	EndedAt  *time.Time `json:"ended,omitempty"`
	Outcome  string     `json:"outcome,omitempty"` // none: none is recorded
	Status   int        `json:"status,omitempty"`
	// MayHaveRun is false where it is proven that it did not.
	MayHaveRun bool `json:"may_have_run"`
}

// View returns the request as it is told.
func (r *Request) View() View {
	l := r.Incarnation
	v := View{ID: r.ID, Class: r.Class, Tenant: r.Tenant, Key: r.Key, Hashed: l.Hashed, FromSite: r.FromSite, Verdict: r.Verdict().Name(),
		ReceivedAt: l.Time(r.ReceivedAt), ClockShifted: len(l.ClockShifts) > 0, RecordsLost: r.RecordsLost, Host: l.Host, Process: fmt.Sprintf("%016x", l.Process)}
	if r.Known {
		v.Deadline = l.Time(r.ReceivedAt + r.TimeLeft)
	}
	for i := range r.Attempts {
		a := &r.Attempts[i]
		w := AttemptView{Number: a.Number, Endpoint: a.Endpoint, Cluster: a.Cluster, Zone: a.Zone, Cell: a.Cell, SentAt: l.Time(a.SentAt), Outcome: a.Verdict,
			Status: a.Status, MayHaveRun: a.mayHaveRun()}
		if a.Ended {
			at := l.Time(a.EndedAt)
			w.EndedAt = &at
		}
		v.Attempts = append(v.Attempts, w)
	}
	if r.Answered {
		at := l.Time(r.AnsweredAt)
		v.Answer, v.Status, v.AnsweredAt = r.Ending.String(), r.Status, &at
	}
	return v
}

const timeLayout = "2006-01-02 15:04:05.000 MST"

// Text tells a request to people, in some lines.
func (r *Request) Text() string {
	v := r.View()
	var b strings.Builder
	name := v.ID
	if !r.Known {
		name = "a request whose beginning is lost"
	}
	fmt.Fprintf(&b, "%s: %s\n", name, strings.ToUpper(r.Verdict().String()))
	if r.Known {
		fmt.Fprintf(&b, "  %s, tenant %s, key %s", v.Class, quoteOrNone(v.Tenant), quoteOrNone(v.Key))
		if v.Hashed {
			b.WriteString(" (hashes)")
		}
		if v.FromSite != "" {
			fmt.Fprintf(&b, ", from sala %s", v.FromSite)
		}
		fmt.Fprintf(&b, "\n  taken %s, to be answered by %s\n", v.ReceivedAt.Format(timeLayout), v.Deadline.Format(timeLayout))
	}
	for i, w := range v.Attempts {
		a := &r.Attempts[i]
		switch {
		case !a.Intended:
			fmt.Fprintf(&b, "  attempt %d: ended as %q; where it was sent is lost\n", w.Number, w.Outcome)
			continue
		case !a.Ended:
			fmt.Fprintf(&b, "  attempt %d: to %s, sent at %s or not at all; no answer seen\n", w.Number, a.Location(), w.SentAt.Format(timeLayout))
			continue
		}
		fmt.Fprintf(&b, "  attempt %d: to %s, sent at %s; %s", w.Number, a.Location(), w.SentAt.Format(timeLayout), w.Outcome)
		if w.Status != 0 {
			fmt.Fprintf(&b, " (%d)", w.Status)
		}
		fmt.Fprintf(&b, " after %v", (a.EndedAt - a.SentAt).Round(10*time.Microsecond))
		switch {
		case a.NeverRan:
			b.WriteString("; it never ran")
		case !a.Responded:
			b.WriteString("; it may have run")
		}
		b.WriteString("\n")
	}
	switch {
	case r.Answered && r.Status != 0:
		fmt.Fprintf(&b, "  the caller was told %d (%s) at %s\n", v.Status, v.Answer, v.AnsweredAt.Format(timeLayout))
	case r.Answered:
		fmt.Fprintf(&b, "  no answer went out: %s, at %s\n", v.Answer, v.AnsweredAt.Format(timeLayout))
	case r.Incarnation.Running:
		b.WriteString("  it has no answer yet\n")
	default:
		b.WriteString("  no answer to the caller is recorded\n")
	}
	if r.RecordsLost {
		b.WriteString("  records are missing from the time in which it was in work\n")
	}
	if v.ClockShifted {
		fmt.Fprintf(&b, "  the time of day was set while this process ran (on %s): spans of time are right, times of day may not be\n", v.Host)
	}
	return b.String()
}

func quoteOrNone(s string) string {
	if s == "" {
		return "none"
	}
	return fmt.Sprintf("%q", s)
}
