package frontend

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that hold for one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Proxy-Authenticate", "Proxy-Authorization"}

// EndToEnd returns the headers that are passed on.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// Single returns the value of a header that may stand once at most.
func Single(h http.Header, name string) (value string, ok bool) {
	values := h[http.CanonicalHeaderKey(name)]
	if len(values) == 1 {
		value = values[0]
	}
	return value, len(values) <= 1
}
