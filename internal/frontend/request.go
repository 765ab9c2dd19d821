package frontend

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"maplepulley/decide"
	"maplepulley/internal/upstream"
)

// hopByHop are the headers that hold for one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Proxy-Authenticate", "Proxy-Authorization"}

// endToEnd returns the headers that are passed on.
func endToEnd(h http.Header) http.Header {
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

// single returns the value of a header that may stand once at most.
func single(h http.Header, name string) (value string, ok bool) {
	values := h[http.CanonicalHeaderKey(name)]
	if len(values) == 1 {
		value = values[0]
	}
	return value, len(values) <= 1
}

const maxID = 128

// parse reads a request's head. The status is 0 if it can be served.
func (s *Server) parse(r *http.Request) (up upstream.Request, q decide.Request, id string, status int) {
	id, one := single(r.Header, "X-Request-ID")
	header, oneClass := single(r.Header, "X-Priority-Class")
	_, oneKey := single(r.Header, "Idempotency-Key")
	_, oneTenant := single(r.Header, "X-Tenant-Id")
	timeout, oneTimeout := single(r.Header, "X-Timeout-Ms")
	class := slices.Index(s.config.Classes, header)
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	named := slices.Index(s.config.Classes, first)
	switch {
	case !one || !oneClass || !oneKey || !oneTenant || !oneTimeout, id == "", len(id) > maxID,
		!strings.HasPrefix(r.RequestURI, "/"), header != "" && class < 0:
		return up, q, id, http.StatusBadRequest
	case named < 0:
		return up, q, id, http.StatusNotFound
	case header != "" && class != named:
		return up, q, id, http.StatusBadRequest
	}
	c := s.config.Decide.Classes[named]
	if !fits(r, c.Effect) {
		return up, q, id, http.StatusBadRequest
	}
	q = decide.Request{Class: named, Left: c.Deadline, Retry: r.Header.Get("X-Retried") == "1",
		// An unknown tenant is -1: to the decisions it has no share of its own.
		Tenant: slices.Index(s.config.Tenants, r.Header.Get("X-Tenant-Id"))}
	if _, given := r.Header["X-Timeout-Ms"]; given {
		ms, err := strconv.ParseUint(timeout, 10, 63)
		if err != nil {
			return up, q, id, http.StatusBadRequest
		}
		// No client waits longer than its class's deadline; one that says so would hold a connection for nothing.
		q.Left = time.Duration(min(ms, uint64(c.Deadline.Milliseconds()))) * time.Millisecond
	}
	up = upstream.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: endToEnd(r.Header)}
	// A caller's Connection header must not strip what endpoints go by.
	for _, name := range []string{"X-Request-Id", "Idempotency-Key"} {
		if len(up.Header[name]) != len(r.Header[name]) {
			return up, q, id, http.StatusBadRequest
		}
	}
	return up, q, id, 0
}

// fits tells whether the method and key are those of the class's effect.
func fits(r *http.Request, e decide.Effect) bool {
	keyed := r.Header.Get("Idempotency-Key") != ""
	switch e {
	case decide.Safe:
		return r.Method == http.MethodGet && r.ContentLength == 0
	case decide.Keyed:
		return r.Method == http.MethodPost && keyed
	default:
		return r.Method == http.MethodPost && !keyed
	}
}
