package sidecar

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/config"
	"silvertrail/lbpolicy"
)

// The headers of the platform's protocol.
const (
	headerRequestID = "X-Request-Id"
	headerClass     = "X-Priority-Class"
	headerKey       = "Idempotency-Key"
	headerTenant    = "X-Tenant-Id"
	headerTimeout   = "X-Timeout-Ms"
	headerRetried   = "X-Retried"
)

const maxRequestIDBytes = 128

// parsedHead is what a request's head says.
type parsedHead struct {
	upstream  upstream.Request
	request   lbpolicy.Request
	requestID string
}

// parse parses a request's head. The status is 0 if it can be served.
func parse(c *config.Config, r *http.Request) (parsedHead, int) {
	requestID, ok := requestIDOf(r)
	if !ok || !strings.HasPrefix(r.RequestURI, "/") {
		return parsedHead{}, http.StatusBadRequest
	}
	classIndex, status := classOf(c, r)
	if status != 0 {
		return parsedHead{}, status
	}
	class := &c.Policy.Classes[classIndex]
	if !matchesEffect(r, class.Effect) {
		return parsedHead{}, http.StatusBadRequest
	}
	timeLeft, err := timeLeftOf(r, class)
	if err != nil {
		return parsedHead{}, http.StatusBadRequest
	}
	header := frontend.EndToEnd(r.Header)
	for _, name := range []string{headerRequestID, headerKey} { // a Connection header must not remove what endpoints rely on
		if len(header[name]) != len(r.Header[name]) {
			return parsedHead{}, http.StatusBadRequest
		}
	}
	return parsedHead{
		upstream: upstream.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header},
		request: lbpolicy.Request{
			Class:          classIndex,
			ClassAtArrival: class,
			TimeLeft:       timeLeft,
			Retry:          r.Header.Get(headerRetried) == "1",
			// An unknown tenant is -1, which has no quota of its own.
			Tenant: slices.Index(c.Tenants, r.Header.Get(headerTenant)),
		},
		requestID: requestID,
	}, 0
}

// requestIDOf returns a request's ID. It returns false for an invalid one, or if a header of the protocol is repeated.
func requestIDOf(r *http.Request) (id string, ok bool) {
	for _, name := range []string{headerClass, headerKey, headerTenant, headerTimeout} {
		if _, isSingle := frontend.SingleValue(r.Header, name); !isSingle {
			return "", false
		}
	}
	id, isSingle := frontend.SingleValue(r.Header, headerRequestID)
	return id, isSingle && id != "" && len(id) <= maxRequestIDBytes
}

// classOf returns the index of a request's class: the first part of its path, which the class header may repeat. The status
// is 0 if the class exists.
func classOf(c *config.Config, r *http.Request) (index, status int) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.IndexByte(path, '%') >= 0 {
		var err error
		path, err = url.PathUnescape(path)
		if err != nil {
			return 0, http.StatusBadRequest
		}
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	named := slices.Index(c.Classes, first)
	header := r.Header.Get(headerClass)
	inHeader := slices.Index(c.Classes, header)
	switch {
	case header != "" && inHeader < 0 && header != first: // a removed class in both is not found
		return 0, http.StatusBadRequest
	case named < 0:
		return 0, http.StatusNotFound
	case header != "" && inHeader != named:
		return 0, http.StatusBadRequest
	}
	return named, 0
}

// timeLeftOf returns the time that a request has: its class's deadline, or less if its client says so. A client that says
// more would only hold a connection for longer.
func timeLeftOf(r *http.Request, class *lbpolicy.Class) (time.Duration, error) {
	values, isSet := r.Header[headerTimeout]
	if !isSet {
		return class.Deadline, nil
	}
	ms, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil {
		return 0, err
	}
	return time.Duration(min(ms, uint64(class.Deadline.Milliseconds()))) * time.Millisecond, nil
}

// matchesEffect reports whether a request's method and key are those of a class's effect.
func matchesEffect(r *http.Request, e lbpolicy.Effect) bool {
	isKeyed := r.Header.Get(headerKey) != ""
	switch e {
	case lbpolicy.Idempotent:
		return r.Method == http.MethodGet && r.ContentLength == 0
	case lbpolicy.KeyedIdempotent:
		return r.Method == http.MethodPost && isKeyed
	default:
		return r.Method == http.MethodPost && !isKeyed
	}
}
