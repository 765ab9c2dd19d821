package peering

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
)

// Limits on the messages that a peer may send.
const (
	maxMessageBytes    = 256 << 10 // of an encoded message, including its body
	maxTextBytes       = 256       // of a name, an idempotency key or an HTTP method
	maxTargetBytes     = 16 << 10  // of a request target, and of a Host header
	maxHeaders         = 200       // header names of one message
	maxVisitedSites    = 32        // sites that a request has visited
	maxSettleNumbers   = 1024      // request numbers in one settleRequest
	maxRoundTripMicros = 60e6      // 1 minute; longer values in a heartbeat are reduced to it
	maxEffect          = 2         // the highest value of lbpolicy.Effect
	minStatus          = 200
	maxStatus          = 599
)

var msgpackHandle = newMsgpackHandle()

func newMsgpackHandle() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.WriteExt = true
	return h
}

// encode returns a message in MessagePack.
func encode(message any) ([]byte, error) {
	var out []byte
	err := codec.NewEncoderBytes(&out, msgpackHandle).Encode(message)
	return out, err
}

// validator is implemented by messages that are checked after decoding. validate may replace enum values that only later
// protocol versions define.
type validator interface{ validate() error }

// decode reads a MessagePack message of at most maxMessageBytes, and validates it if it is a validator.
func decode(from io.Reader, into any) (err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil { // the codec panics on some malformed input
			err = fmt.Errorf("link: unreadable: %v", panicValue)
		}
	}()
	payload, err := io.ReadAll(io.LimitReader(from, maxMessageBytes+1))
	switch {
	case err != nil:
		return err
	case len(payload) > maxMessageBytes:
		return fmt.Errorf("link: a message over %d bytes", maxMessageBytes)
	}
	if err := codec.NewDecoderBytes(payload, msgpackHandle).Decode(into); err != nil {
		return fmt.Errorf("link: unreadable: %w", err)
	}
	if message, ok := into.(validator); ok {
		return message.validate()
	}
	return nil
}

// anyTooLong reports whether any of the texts is longer than maxTextBytes.
func anyTooLong(texts ...string) bool {
	return slices.ContainsFunc(texts, func(s string) bool { return len(s) > maxTextBytes })
}

func (h *helloRequest) validate() error {
	if anyTooLong(h.Site, h.ToSite) || h.OldestVersion < 1 || h.NewestVersion < h.OldestVersion || h.SessionID == 0 {
		return errors.New("link: invalid greeting")
	}
	return nil
}

func (h *heartbeat) validate() error { //nolint:unparam // implements validator
	if h.State > forwarding.Available { // a state that only later versions define
		h.State = forwarding.Unavailable
	}
	h.RoundTrip = min(max(h.RoundTrip, 0), maxRoundTripMicros)
	return nil
}

func (r *Request) validate() error {
	valid := r.Number > 0 &&
		r.TimeLeft >= 0 &&
		r.AttemptsLeft >= 0 &&
		r.Effect <= maxEffect &&
		!anyTooLong(r.Class, r.Tenant, r.Key, r.Method) &&
		len(r.VisitedSites) > 0 && len(r.VisitedSites) <= maxVisitedSites && !anyTooLong(r.VisitedSites...) &&
		r.Method != "" &&
		len(r.Host) <= maxTargetBytes &&
		r.Target != "" && r.Target[0] == '/' && len(r.Target) <= maxTargetBytes &&
		isWritableHeader(r.Header)
	if !valid {
		return errors.New("link: invalid request")
	}
	if !r.Reason.IsValid() { // a reason that only later versions define
		r.Reason = accounting.Transit
	}
	return nil
}

func (r *Response) validate() error {
	validStatus := r.Outcome != accounting.Served || r.Status >= minStatus && r.Status <= maxStatus
	valid := r.Outcome != accounting.Pending && r.Outcome <= accounting.MayHaveRun &&
		validStatus &&
		r.RetryAfter >= 0 &&
		r.Attempts >= 0 &&
		!anyTooLong(r.Place.Cluster, r.Place.Zone) &&
		isWritableHeader(r.Header)
	if !valid {
		return errors.New("link: invalid response")
	}
	return nil
}

func (s *settleRequest) validate() error {
	if len(s.Numbers) > maxSettleNumbers {
		return errors.New("link: too many numbers to settle")
	}
	return nil
}

func (c *countersRequest) validate() error {
	if len(c.Sessions) > 2*maxSessions {
		return errors.New("link: too many sessions asked for")
	}
	return nil
}

// isWritableHeader reports whether a header can be written to an HTTP/1.1 connection unchanged: it has at most maxHeaders
// canonical names, and its values have no control bytes other than tabs.
func isWritableHeader(h http.Header) bool {
	if len(h) > maxHeaders {
		return false
	}
	for name, values := range h {
		if !isHeaderName(name) || slices.ContainsFunc(values, hasControlByte) {
			return false
		}
	}
	return true
}

// isHeaderName reports whether a name is canonical, not empty, and made of visible ASCII characters other than colons.
func isHeaderName(name string) bool {
	if name == "" || name != http.CanonicalHeaderKey(name) {
		return false
	}
	return !slices.ContainsFunc([]byte(name), func(c byte) bool { return c <= ' ' || c >= 0x7f || c == ':' })
}

// hasControlByte reports whether a value contains a control byte other than a tab.
func hasControlByte(value string) bool {
	return slices.ContainsFunc([]byte(value), func(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f })
}
