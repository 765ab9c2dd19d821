package frontend

import (
	"net/http"
	"strings"
)

// isHopByHop reports whether a header applies only to a single connection (RFC 9110, 7.6.1).
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Proxy-Authenticate", "Proxy-Authorization":
		return true
	}
	return false
}

// isNominated reports whether the values of the Connection header list the given header as hop-by-hop.
func isNominated(connection []string, header string) bool {
	for _, line := range connection {
		for name := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(name), header) {
				return true
			}
		}
	}
	return false
}

// EndToEnd returns the end-to-end headers of h, which are forwarded. The map is new, but its values are shared with h.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	connection := h["Connection"]
	for name, values := range h {
		if !isHopByHop(name) && (len(connection) == 0 || !isNominated(connection, name)) {
			out[name] = values
		}
	}
	return out
}

// SingleValue returns the value of a header that may occur at most once. ok is false if it occurs more often. The name must be in
// canonical form.
func SingleValue(h http.Header, name string) (value string, ok bool) {
	values := h[name]
	if len(values) == 1 {
		value = values[0]
	}
	return value, len(values) <= 1
}
