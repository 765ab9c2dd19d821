package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/gateway/conf"
	"silvertrail/lbpolicy"
)

const (
	maxRequestIDBytes = 128
	maxKeyBytes       = 256
)

// noTenant is the index of a request whose tenant has no quota of its own.
const noTenant = -1

// parseRequest finds a request's class, deadline, idempotency key and tenant. It returns the reply to a request that cannot be served.
func (x *exchange) parseRequest(r *http.Request, classHeader string) *frontend.Reply {
	index, reply := x.parseClass(r, classHeader)
	if reply != nil {
		return reply
	}
	key, oneKey := frontend.SingleValue(r.Header, "Idempotency-Key")
	id, oneID := frontend.SingleValue(r.Header, "X-Request-Id")
	timeout, oneTimeout := frontend.SingleValue(r.Header, "X-Timeout-Ms")
	if !oneKey || !oneID || !oneTimeout || len(key) > maxKeyBytes || len(id) > maxRequestIDBytes {
		return badRequest()
	}
	if x.class.Effect == lbpolicy.KeyedIdempotent {
		if key == "" {
			return badRequest()
		}
		x.key = key
		x.keyID = idempotency.KeyIDOf(x.tenant, key)
		x.keyOwner = idempotency.OwnerOf(r.RemoteAddr)
	}
	timeLeft, ok := x.parseTimeout(timeout)
	if !ok {
		return badRequest()
	}
	tenant, known := x.state.tenants[x.tenant]
	if !known {
		tenant = noTenant
	}
	x.policyRequest = lbpolicy.Request{Class: index, Tenant: tenant, TimeLeft: timeLeft, Retry: r.Header.Get("X-Retried") == "1",
		MaxAttempts: x.rule.MaxAttempts}
	return nil
}

// parseClass finds a request's class: that of the route, of the header, or the default one. It returns its index, or the reply to a request
// that the class does not allow.
func (x *exchange) parseClass(r *http.Request, header string) (int, *frontend.Reply) {
	name := x.rule.Class
	if name == "" {
		name = header
	}
	if name == "" {
		name = x.state.file.Process.DefaultClass
	}
	index, known := x.state.classes[name]
	if !known {
		return 0, badRequest()
	}
	x.class = &x.state.file.Classes[index]
	if !slices.Contains(x.class.Methods, r.Method) {
		return 0, &frontend.Reply{Status: http.StatusMethodNotAllowed, Close: true,
			Header: http.Header{"Allow": {strings.Join(x.class.Methods, ", ")}}}
	}
	if x.class.Effect == lbpolicy.Idempotent && r.ContentLength != 0 && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		return 0, badRequest() // RFC 9110, 9.3.1: a body there has no meaning, and may hide a request
	}
	return index, nil
}

// parseTimeout returns the time that a request has: the least of its class, route and header.
func (x *exchange) parseTimeout(header string) (timeLeft time.Duration, ok bool) {
	timeLeft = x.class.Deadline
	if x.rule.Timeout > 0 {
		timeLeft = min(timeLeft, x.rule.Timeout)
	}
	if header == "" {
		return timeLeft, true
	}
	ms, err := strconv.ParseUint(header, 10, 63)
	if err != nil {
		return 0, false
	}
	ms = min(ms, uint64(timeLeft.Milliseconds())+1) // so that it fits into a duration
	return min(timeLeft, time.Duration(ms)*time.Millisecond), true
}

// setHeaders sets the headers that are forwarded.
func (x *exchange) setHeaders(r *http.Request, l *conf.Listener) {
	h := frontend.EndToEnd(r.Header)
	for _, name := range []string{"X-Request-Id", "Idempotency-Key"} { // a Connection header must not remove these
		if values, ok := r.Header[name]; ok {
			h[name] = values
		}
	}
	if h.Get("X-Request-Id") == "" {
		h["X-Request-Id"] = []string{fmt.Sprintf("%016x", rand.Uint64())}
	}
	client, _, _ := net.SplitHostPort(r.RemoteAddr)
	if before := h["X-Forwarded-For"]; l.TrustsForwarded && len(before) > 0 {
		h["X-Forwarded-For"] = []string{strings.Join(before, ", ") + ", " + client}
	} else {
		h["X-Forwarded-For"] = []string{client}
		h["X-Forwarded-Host"] = []string{r.Host}
		h["X-Forwarded-Proto"] = []string{"http"}
	}
	for _, name := range x.rule.RemoveHeaders {
		delete(h, name)
	}
	for name, value := range x.rule.SetHeaders {
		h[name] = []string{value}
	}
	x.outgoing.Header = h
}
