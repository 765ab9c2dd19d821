package accounting

// Outcome is the outcome of a forwarded request. Its numeric value is part of the peering protocol.
type Outcome uint8

// The outcomes. The receiving end records the outcomes from Served to MayHaveRun.
const (
	Pending      Outcome = iota // not known yet
	Served                      // an endpoint answered
	Rejected                    // rejected for load before anything ran
	NeverRan                    // failed, and certainly did not run
	MayHaveRun                  // failed, and may have run
	NeverArrived                // sent but not arrived, and rejected if it still arrives
	outcomeCount = iota
)

// String returns the name that is shown to operators.
func (o Outcome) String() string {
	if int(o) >= outcomeCount {
		return "unknown"
	}
	return [...]string{"open", "served", "refused", "never ran", "may have run", "never came"}[o]
}

// ProvesNothingRan reports whether no attempt of the request has run, nor will.
func (o Outcome) ProvesNothingRan() bool {
	return o == Rejected || o == NeverRan || o == NeverArrived
}

// Reason is the reason why a request is forwarded. Its numeric value is part of the peering protocol.
type Reason uint8

// The reasons.
const (
	Shed        Reason = iota // the local site rejected the request for load
	Failed                    // no endpoint of the local site could be reached
	KeyOwned                  // a request with the same idempotency key may have run at the other site
	Transit                   // the request came from a third site
	reasonCount = iota
)

// String returns the name that is shown to operators.
func (r Reason) String() string {
	if int(r) >= reasonCount {
		return "unknown"
	}
	return [...]string{"shed", "failed", "held", "passing"}[r]
}

// IsValid reports whether this version knows the reason.
func (r Reason) IsValid() bool { return int(r) < reasonCount }
