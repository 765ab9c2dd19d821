// Package accounting counts the requests that are forwarded over one session between two sites. Both ends count, and they
// agree on the outcome of every request, even after the connection was cut. The package has no I/O, clock or goroutines; the
// caller owns the accounts.
//
// A session numbers its requests. The sending end (Sender) knows which requests were answered; all others are pending. If
// the client disconnects or the connection breaks while a request is pending, the sending end asks the receiving end
// (Receiver) for its outcome. The receiving end never changes an outcome that it has reported. If a request has not arrived
// when the sending end asks for it, the receiving end rejects it from then on. So NeverArrived proves that the request did
// not run and never will.
package accounting
