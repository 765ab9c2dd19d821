package main

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"

	"silvertrail/internal/testkit/fake"
)

// chain runs two of httputil.ReverseProxy: far before an address, and near before far, over HTTP/2 with TLS; where there is a
// path between them, over that and with a connection for each request.
func chain(to string, path *fake.Path) (far, near string, stop func(), err error) {
	at, err := url.Parse(to)
	if err != nil {
		return "", "", nil, err
	}
	proxy := func(to *url.URL, t http.RoundTripper) *httputil.ReverseProxy {
		return &httputil.ReverseProxy{Transport: t, Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(to); r.SetXForwarded() }}
	}
	inner := proxy(at, &http.Transport{MaxIdleConnsPerHost: 256})
	plain := httptest.NewServer(inner)
	secure := httptest.NewUnstartedServer(inner)
	secure.EnableHTTP2 = true
	secure.StartTLS()
	next, err := url.Parse(secure.URL)
	if err != nil {
		return "", "", nil, err
	}
	t := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: secure.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs, ServerName: "example.com"}, ForceAttemptHTTP2: true}
	if path != nil {
		path.SetTarget(next.Host)
		next.Host = path.Addr
		t.DisableKeepAlives, t.ForceAttemptHTTP2 = true, false
	}
	front := httptest.NewServer(proxy(next, t))
	return plain.URL, front.URL, func() { front.Close(); secure.Close(); plain.Close() }, nil
}
