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

// maxTimeout bounds what a caller may ask for; it keeps the arithmetic sound.
const maxTimeout = time.Hour

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

// parse reads a request's head. The status is 0 if it can be served.
func (s *Server) parse(r *http.Request) (up upstream.Request, q decide.Request, status int) {
	header := r.Header.Get("X-Priority-Class")
	class := slices.Index(s.config.Classes, header)
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	named := slices.Index(s.config.Classes, first)
	switch {
	case header != "" && class < 0:
		return up, q, http.StatusBadRequest
	case named < 0:
		return up, q, http.StatusNotFound
	case header != "" && class != named, r.Header.Get("X-Request-ID") == "":
		return up, q, http.StatusBadRequest
	}
	c := s.config.Decide.Classes[named]
	if !fits(r, c.Effect) {
		return up, q, http.StatusBadRequest
	}
	q = decide.Request{Class: named, Left: c.Deadline, Retry: r.Header.Get("X-Retried") == "1",
		// An unknown tenant is -1: to the decisions it has no share of its own.
		Tenant: slices.Index(s.config.Tenants, r.Header.Get("X-Tenant-Id"))}
	if text, given := r.Header["X-Timeout-Ms"]; given {
		ms, err := strconv.ParseUint(text[0], 10, 63)
		if err != nil || len(text) > 1 {
			return up, q, http.StatusBadRequest
		}
		q.Left = min(time.Duration(min(ms, uint64(maxTimeout.Milliseconds())))*time.Millisecond, maxTimeout)
	}
	return upstream.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: endToEnd(r.Header)}, q, 0
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
