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

// Request headers of the platform's protocol.
const (
	headerRequestID = "X-Request-Id"
	headerClass     = "X-Priority-Class"
	headerKey       = "Idempotency-Key"
	headerTenant    = "X-Tenant-Id"
	headerTimeout   = "X-Timeout-Ms"
	headerRetried   = "X-Retried"
)

const maxRequestIDBytes = 128

// parsedHead is the content of a request's head: the request to forward and its parameters for load balancing.
type parsedHead struct {
	upstream  upstream.Request
	request   lbpolicy.Request
	requestID string
}

// parse parses a request's head. The returned status is 0 if the request is valid, and otherwise the HTTP status of the
// error response.
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

// requestIDOf returns a request's ID. It returns false if the ID is invalid or if a header of the protocol is repeated.
func requestIDOf(r *http.Request) (id string, ok bool) {
	for _, name := range []string{headerClass, headerKey, headerTenant, headerTimeout} {
		if _, isSingle := frontend.SingleValue(r.Header, name); !isSingle {
			return "", false
		}
	}
	id, isSingle := frontend.SingleValue(r.Header, headerRequestID)
	return id, isSingle && id != "" && len(id) <= maxRequestIDBytes
}

// classOf returns the index of a request's class. The first segment of the path names the class, and the class header may
// repeat the name. The returned status is 0 if the class exists, and otherwise the HTTP status of the error response.
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
	pathIndex := slices.Index(c.Classes, first)
	header := r.Header.Get(headerClass)
	headerIndex := slices.Index(c.Classes, header)
	switch {
	case header != "" && headerIndex < 0 && header != first: // a removed class named by both path and header gives 404 below
		return 0, http.StatusBadRequest
	case pathIndex < 0:
		return 0, http.StatusNotFound
	case header != "" && headerIndex != pathIndex:
		return 0, http.StatusBadRequest
	}
	return pathIndex, 0
}

// timeLeftOf returns the time left for a request. This is the deadline of its class, or the client's timeout if that is
// shorter. A longer client timeout is ignored, because it would only keep a connection in use for longer.
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

// matchesEffect reports whether a request has the method and the idempotency key that the effect of its class requires.
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
