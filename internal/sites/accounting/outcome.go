package accounting

// Outcome is how a forwarded request ended. Its number is part of the peering protocol.
type Outcome uint8

// The outcomes. The receiving end reports Served to MayHaveRun.
const (
	Pending      Outcome = iota // not known yet
	Served                      // an endpoint answered
	Rejected                    // rejected for load before anything ran
	NeverRan                    // failed, with proof that nothing ran
	MayHaveRun                  // failed, and may have run
	NeverArrived                // was sent, has not arrived and will not be accepted any more
	outcomeCount = iota
)

// String returns the name that operators read.
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

// Reason is why a request is forwarded. Its number is part of the peering protocol.
type Reason uint8

// The reasons.
const (
	Shed        Reason = iota // the local site rejected it for load
	Failed                    // no endpoint of the local site could be reached
	KeyOwned                  // its idempotency key may have run in the other site
	Transit                   // it came from a third site
	reasonCount = iota
)

// String returns the name that operators read.
func (r Reason) String() string {
	if int(r) >= reasonCount {
		return "unknown"
	}
	return [...]string{"shed", "failed", "held", "passing"}[r]
}

// IsValid reports whether this version knows the reason.
func (r Reason) IsValid() bool { return int(r) < reasonCount }
