package requesthistory

import (
	"fmt"
	"strings"
	"time"
)

// View is the exported form of a request.
type View struct {
	ID         string    `json:"id,omitempty"`
	Class      string    `json:"class,omitempty"`
	Tenant     string    `json:"tenant,omitempty"`
	Key        string    `json:"key,omitempty"`
	Hashed     bool      `json:"hashed,omitempty"` // Tenant and Key are hashes
	FromSite   string    `json:"from_sala,omitempty"`
	Verdict    string    `json:"verdict"`
	ReceivedAt time.Time `json:"taken"`
	Deadline   time.Time `json:"deadline,omitzero"`
	// ClockShifted means that the wall clock was set while the process ran. The difference between a time before the change and
	// one after it is then not the time that passed.
	ClockShifted bool          `json:"clock_set,omitempty"`
	Attempts     []AttemptView `json:"attempts,omitempty"`
	Answer       string        `json:"answer,omitempty"` // how the request ended for the client
	Status       int           `json:"status,omitempty"`
	AnsweredAt   *time.Time    `json:"answered,omitempty"`
	RecordsLost  bool          `json:"records_lost,omitempty"`
	Host         string        `json:"host"`
	Process      string        `json:"process"`
}

// AttemptView is the exported form of an attempt.
type AttemptView struct {
	Number   int        `json:"number"`
	Endpoint string     `json:"nodo"`
	Cluster  string     `json:"cluster,omitempty"`
	Zone     string     `json:"zone,omitempty"`
	Cell     int        `json:"cell,omitempty"`
	SentAt   time.Time  `json:"sent"` // when the attempt was about to be sent
	EndedAt  *time.Time `json:"ended,omitempty"`
	Outcome  string     `json:"outcome,omitempty"` // empty: no outcome is recorded
	Status   int        `json:"status,omitempty"`
	// MayHaveRun is false if the attempt is proven not to have run.
	MayHaveRun bool `json:"may_have_run"`
}

// View returns the exported form of the request.
func (r *Request) View() View {
	incarnation := r.Incarnation
	v := View{
		ID:           r.ID,
		Class:        r.Class,
		Tenant:       r.Tenant,
		Key:          r.Key,
		Hashed:       incarnation.Hashed,
		FromSite:     r.FromSite,
		Verdict:      r.Verdict().Name(),
		ReceivedAt:   incarnation.Time(r.ReceivedAt),
		ClockShifted: len(incarnation.ClockShifts) > 0,
		RecordsLost:  r.RecordsLost,
		Host:         incarnation.Host,
		Process:      fmt.Sprintf("%016x", incarnation.Process),
	}
	if r.HasReceived {
		v.Deadline = incarnation.Time(r.ReceivedAt + r.TimeLeft)
	}
	for n := range r.Attempts {
		v.Attempts = append(v.Attempts, r.Attempts[n].view(incarnation))
	}
	if r.HasFinal {
		at := incarnation.Time(r.AnsweredAt)
		v.Answer, v.Status, v.AnsweredAt = r.Ending.String(), r.Status, &at
	}
	return v
}

func (a *Attempt) view(incarnation *Incarnation) AttemptView {
	v := AttemptView{
		Number:     a.Number,
		Endpoint:   a.Endpoint,
		Cluster:    a.Cluster,
		Zone:       a.Zone,
		Cell:       a.Cell,
		SentAt:     incarnation.Time(a.SentAt),
		Outcome:    a.Verdict,
		Status:     a.Status,
		MayHaveRun: a.mayHaveRun(),
	}
	if a.Ended {
		at := incarnation.Time(a.EndedAt)
		v.EndedAt = &at
	}
	return v
}

const (
	timeLayout      = "2006-01-02 15:04:05.000 MST"
	latencyRounding = 10 * time.Microsecond
)

// Text returns a description of the request of several lines, as commands print it.
func (r *Request) Text() string {
	v := r.View()
	var b strings.Builder
	name := v.ID
	if !r.HasReceived {
		name = "a request whose beginning is lost"
	}
	fmt.Fprintf(&b, "%s: %s\n", name, strings.ToUpper(r.Verdict().String()))
	if r.HasReceived {
		b.WriteString(v.origin())
	}
	for n, attempt := range v.Attempts {
		b.WriteString(r.Attempts[n].text(attempt))
	}
	b.WriteString(r.answerText(v))
	if r.RecordsLost {
		b.WriteString("  records are missing from the time in which it was in work\n")
	}
	if v.ClockShifted {
		fmt.Fprintf(&b, "  the time of day was set while this process ran (on %s): spans of time are right, times of day may not be\n", v.Host)
	}
	return b.String()
}

// origin describes the class, tenant, key, site of origin and deadline of a request.
func (v *View) origin() string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %s, tenant %s, key %s", v.Class, quoteOrNone(v.Tenant), quoteOrNone(v.Key))
	if v.Hashed {
		b.WriteString(" (hashes)")
	}
	if v.FromSite != "" {
		fmt.Fprintf(&b, ", from sala %s", v.FromSite)
	}
	fmt.Fprintf(&b, "\n  taken %s, to be answered by %s\n", v.ReceivedAt.Format(timeLayout), v.Deadline.Format(timeLayout))
	return b.String()
}

// text returns the line of Text about an attempt.
func (a *Attempt) text(v AttemptView) string {
	switch {
	case !a.HasIntent:
		return fmt.Sprintf("  attempt %d: ended as %q; where it was sent is lost\n", v.Number, v.Outcome)
	case !a.Ended:
		return fmt.Sprintf("  attempt %d: to %s, sent at %s or not at all; no answer seen\n", v.Number, a.Location(), v.SentAt.Format(timeLayout))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "  attempt %d: to %s, sent at %s; %s", v.Number, a.Location(), v.SentAt.Format(timeLayout), v.Outcome)
	if v.Status != 0 {
		fmt.Fprintf(&b, " (%d)", v.Status)
	}
	fmt.Fprintf(&b, " after %v", (a.EndedAt - a.SentAt).Round(latencyRounding))
	switch {
	case a.NeverRan:
		b.WriteString("; it never ran")
	case !a.Responded:
		b.WriteString("; it may have run")
	}
	b.WriteString("\n")
	return b.String()
}

// answerText describes the response that the client got, if any.
func (r *Request) answerText(v View) string {
	switch {
	case r.HasFinal && r.Status != 0:
		return fmt.Sprintf("  the caller was told %d (%s) at %s\n", v.Status, v.Answer, v.AnsweredAt.Format(timeLayout))
	case r.HasFinal:
		return fmt.Sprintf("  no answer went out: %s, at %s\n", v.Answer, v.AnsweredAt.Format(timeLayout))
	case r.Incarnation.Running:
		return "  it has no answer yet\n"
	}
	return "  no answer to the caller is recorded\n"
}

func quoteOrNone(s string) string {
	if s == "" {
		return "none"
	}
	return fmt.Sprintf("%q", s)
}
