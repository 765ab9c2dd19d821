// Package accounting counts the requests that are forwarded over one session between two sites, at both ends, so that the
// ends agree on the outcome of every request, also after the connection was cut. It has no I/O, clock or goroutines; the
// caller owns the accounts.
//
// A session numbers its requests. The sending end (Sender) knows which numbers were answered. Those that were not when
// the client left or the connection broke are pending, and the sending end asks the receiving end (Receiver) for their
// outcome. The receiving end never takes an outcome back: a number that has not arrived when it is asked about is voided,
// so that NeverArrived proves that the request did not run and never will.
package accounting
