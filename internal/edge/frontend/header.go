package frontend

import (
	"net/http"
	"strings"
)

// isHopByHop reports whether a header concerns one connection alone (RFC 9110, 7.6.1).
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Proxy-Authenticate", "Proxy-Authorization":
		return true
	}
	return false
}

// isNominated reports whether the Connection header names a header.
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

// EndToEnd returns the headers that are forwarded. The values are shared with h, the map is not.
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

// SingleValue returns the value of a header that may occur once at most; ok is false where it occurs more often. The name is in canonical
// form.
func SingleValue(h http.Header, name string) (value string, ok bool) {
	values := h[name]
	if len(values) == 1 {
		value = values[0]
	}
	return value, len(values) <= 1
}
