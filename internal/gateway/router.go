package gateway

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/gateway/route"
)

// router routes the requests of one listener. It implements frontend.Router.
type router struct {
	gateway  *Gateway
	listener atomic.Pointer[conf.Listener]
}

// Route implements frontend.Router.
func (ro *router) Route(r *http.Request) (frontend.Exchange, *frontend.Reply) {
	s := ro.gateway.acquire()
	x, reply := ro.route(s, r)
	if reply != nil {
		ro.gateway.release(s)
		return nil, reply
	}
	return x, nil
}

// badRequest returns the response to a request that is malformed, or ambiguous.
func badRequest() *frontend.Reply {
	return &frontend.Reply{Status: http.StatusBadRequest, Close: true}
}

// route returns the exchange of a request, or the reply to it.
func (ro *router) route(s *state, r *http.Request) (*exchange, *frontend.Reply) {
	listener := ro.listener.Load()
	path, query, ok := requestTarget(r)
	if !ok {
		return nil, badRequest()
	}
	path, err := route.NormalisePath(path)
	if err != nil {
		return nil, badRequest()
	}
	host, err := route.NormaliseHost(r.Host)
	if err != nil {
		return nil, badRequest()
	}
	class, oneClass := frontend.SingleValue(r.Header, "X-Priority-Class")
	tenant, oneTenant := frontend.SingleValue(r.Header, "X-Tenant-Id")
	if !oneClass || !oneTenant {
		return nil, badRequest()
	}
	found, ok := s.file.Routes.Find(&route.Request{Listener: listener.Name, Host: host, Path: path, Method: r.Method, Class: class,
		Tenant: tenant, Header: r.Header, Query: query})
	if !ok {
		return nil, &frontend.Reply{Status: http.StatusNotFound}
	}
	rule := found.Rule
	switch {
	case rule.Respond != nil:
		return nil, routeResponse(rule.Respond)
	case rule.Redirect != nil:
		return nil, redirectReply(rule.Redirect, r, path, query)
	}
	x := &exchange{gateway: ro.gateway, state: s, rule: rule, tenant: tenant}
	if reply := x.parseRequest(r, class); reply != nil {
		return nil, reply
	}
	x.originalTarget = withQuery(path, query)
	x.outgoing.Method = r.Method
	x.outgoing.Target = withQuery(rule.ForwardedPath(path, found.Path), query)
	x.outgoing.Host = r.Host
	x.setHeaders(r, listener)
	x.clusterName = rule.Pick(x.splitKey(r, path))
	return x, nil
}

func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

// requestTarget returns the path and the raw query of a request. The absolute form is accepted, too (RFC 9112, 3.2.2); its host is r.Host
// already.
func requestTarget(r *http.Request) (path, query string, ok bool) {
	text := r.RequestURI
	if !strings.HasPrefix(text, "/") {
		scheme, rest, absolute := strings.Cut(text, "://")
		if !absolute || !strings.EqualFold(scheme, "http") {
			return "", "", false
		}
		i := strings.IndexAny(rest, "/?")
		switch {
		case i < 0:
			text = "/"
		case rest[i] == '?':
			text = "/" + rest[i:]
		default:
			text = rest[i:]
		}
	}
	path, query, _ = strings.Cut(text, "?")
	// An endpoint would not see what follows a "#" as a part of the query.
	return path, query, !strings.ContainsFunc(query, func(c rune) bool { return c <= ' ' || c == 0x7f || c == '#' })
}

// routeResponse returns the response of a route that has one of its own.
func routeResponse(a *route.Response) *frontend.Reply {
	h := http.Header{}
	for name, value := range a.Header {
		h.Set(name, value)
	}
	if h.Get("Content-Type") == "" && a.Body != "" {
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	return &frontend.Reply{Status: a.Status, Header: h, Body: []byte(a.Body)}
}

// redirectReply returns the response of a route that redirects.
func redirectReply(d *route.Redirect, r *http.Request, path, query string) *frontend.Reply {
	scheme, host := d.Scheme, d.Host
	if scheme == "" {
		scheme = "http"
	}
	if host == "" {
		host = r.Host
	}
	if d.Path != "" {
		path = d.Path
	}
	to := scheme + "://" + host + path
	if query != "" {
		to += "?" + query
	}
	return &frontend.Reply{Status: d.Status, Header: http.Header{"Location": {to}}}
}

// splitKey returns the key by which a route's split picks the cluster. A request with an idempotency key is split by that key whatever the
// route says, so that its retry goes to the same cluster.
func (x *exchange) splitKey(r *http.Request, path string) string {
	rule := x.rule
	if len(rule.Targets) == 1 {
		return ""
	}
	if x.key != "" {
		return x.key
	}
	text := ""
	switch rule.SplitBy {
	case route.SplitHeader:
		text = r.Header.Get(rule.SplitHeader)
	case route.SplitTenant:
		text = x.tenant
	case route.SplitPath:
		text = path
	case route.SplitClient:
		text, _, _ = net.SplitHostPort(r.RemoteAddr)
	}
	if text == "" {
		text = x.outgoing.Header.Get("X-Request-Id")
	}
	return text
}
