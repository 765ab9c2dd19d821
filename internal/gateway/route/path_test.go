package route

import (
	"net/url"
	"path"
	"strings"
	"testing"
)

// TestNormalisePathReturnsCanonicalFormOrError checks the canonical forms of valid paths, the rejection of ambiguous or
// malformed ones, and that a path in canonical form needs no allocation.
func TestNormalisePathReturnsCanonicalFormOrError(t *testing.T) {
	for raw, want := range map[string]string{
		"/": "/", "/a": "/a", "/a/": "/a/", "//": "/", "//a///b//": "/a/b/",
		"/a/./b": "/a/b", "/a/../b": "/b", "/a/..": "/", "/a/b/..": "/a/", "/a/.": "/a/", "/./": "/", "/a/b/../../c": "/c",
		"/%61%2D%2e%7E": "/a-.~", "/a%3b": "/a%3B", "/%e2%82%ac": "/%E2%82%AC", "/€": "/%E2%82%AC",
		"/a/%2e%2E/b": "/b", "/a/%2e": "/a/", "/a//..//b": "/b", "/.well-known/x": "/.well-known/x", "/a/...": "/a/...",
		"/a/..b": "/a/..b", "/{id}": "/%7Bid%7D", "/a;v=1/b": "/a;v=1/b", "/a%20b": "/a%20b", "/a%25b": "/a%25b",
		"/a%252fb": "/a%252fb", "/a+b": "/a+b", "/a:b@c!$&'()*,=": "/a:b@c!$&'()*,=",
	} {
		got, err := NormalisePath(raw)
		if err != nil || got != want {
			t.Errorf("path %q: got %q, error %v, want %q", raw, got, err, want)
		}
	}
	for _, raw := range []string{"", "a", "*", "?", "/..", "/a/../..", "/%2e%2e", "/a%2fb", "/a%2Fb", "/a%5cb", `/a\b`, "/a%00", "/a%0a",
		"/a%7f", "/a\tb", "/a b", "/%", "/%4", "/%zz", "/a#b", "/a/..;/b", "/a/.;x", "/a/%2e%2e%3bx/b", "/a/..%3B"} {
		if got, err := NormalisePath(raw); err == nil {
			t.Errorf("invalid path %q was accepted as %q", raw, got)
		}
	}
	if n := testing.AllocsPerRun(100, func() { NormalisePath("/schools/san-lucas/seats/2027;x=1/a.b") }); n > 0 {
		t.Errorf("%v allocations for a path in canonical form, want none", n)
	}
}

// FuzzNormalisePath checks three properties of every path that is accepted. The canonical form is its own canonical form. It
// holds nothing that an endpoint could still resolve. Package url decodes it to the same path as the original.
func FuzzNormalisePath(f *testing.F) {
	for _, s := range []string{"/a/../b", "/%2e%2e/x", "//a//", "/a%2fb", "/..;/", "/€", "/%c3%28", "/a/.%2e/;/%3b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		got, err := NormalisePath(raw)
		if err != nil {
			return
		}
		if again, err := NormalisePath(got); err != nil || again != got {
			t.Fatalf("path %q was normalised to %q, and that to %q, error %v", raw, got, again, err)
		}
		for segment := range strings.SplitSeq(got, "/") {
			lower := strings.ToLower(segment)
			if segment == "." || segment == ".." || strings.Contains(lower, "%2f") || strings.Contains(lower, "%2e") ||
				strings.Contains(lower, "%5c") {
				t.Fatalf("path %q was normalised to %q, which has an ambiguous segment", raw, got)
			}
		}
		if strings.Contains(got, "//") || strings.ContainsAny(got, "\\ \x00#\r\n") {
			t.Fatalf("path %q was normalised to %q, which has an empty segment or a forbidden byte", raw, got)
		}
		decodedRaw, err := url.PathUnescape(raw)
		decodedGot, err2 := url.PathUnescape(got)
		if err != nil || err2 != nil || path.Clean(decodedRaw) != path.Clean(decodedGot) {
			t.Fatalf("path %q (decoded %q) was normalised to %q (decoded %q)", raw, decodedRaw, got, decodedGot)
		}
	})
}

// TestNormaliseHostReturnsCanonicalFormOrError checks the canonical forms of valid hosts, the rejection of malformed ones, and
// that a name in lower case needs no allocation.
func TestNormaliseHostReturnsCanonicalFormOrError(t *testing.T) {
	for raw, want := range map[string]string{
		"": "", "a": "a", "A.Example": "a.example", "a.example:8080": "a.example", "a.example.": "a.example",
		"a.example.:80": "a.example", "a:": "a", "127.0.0.1:5": "127.0.0.1", "[::1]": "::1", "[2001:DB8::1]:443": "2001:db8::1",
		"a_b-c": "a_b-c", "xn--ol-yia": "xn--ol-yia",
	} {
		if got, err := NormaliseHost(raw); err != nil || got != want {
			t.Errorf("host %q: got %q, error %v, want %q", raw, got, err, want)
		}
	}
	for _, raw := range []string{"a..b", ".a", "a:b", "a:1:2", "a:99999", "::1", "[::1", "[::1]x", "[1.2.3.4]", "[fe80::1%25lo]",
		"a b", "a/b", "é", "a,b", "a@b", ".", "..", strings.Repeat("a", 64), strings.Repeat("a.", 127) + "aa"} {
		if got, err := NormaliseHost(raw); err == nil {
			t.Errorf("invalid host %q was accepted as %q", raw, got)
		}
	}
	if n := testing.AllocsPerRun(100, func() { NormaliseHost("portal.rio-claro.example:8443") }); n > 0 {
		t.Errorf("%v allocations for a host in lower case, want none", n)
	}
}

// FuzzNormaliseHost checks that the canonical form of a host is in lower case and its own canonical form.
func FuzzNormaliseHost(f *testing.F) {
	for _, s := range []string{"a.B:80", "[::1]:1", "a.", "x..y"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		got, err := NormaliseHost(raw)
		if err != nil {
			return
		}
		if strings.HasPrefix(raw, "[") {
			got = "[" + got + "]"
		}
		want := strings.Trim(got, "[]")
		if again, err := NormaliseHost(got); err != nil || again != want || got != strings.ToLower(got) {
			t.Fatalf("host %q was normalised to %q, and that to %q, error %v", raw, got, again, err)
		}
	})
}
