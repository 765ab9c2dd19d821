package cluster

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

var discardLogger = slog.New(slog.DiscardHandler)

// startNameServer starts a fake name server.
func startNameServer(t *testing.T, respond func(q dns.Question, tcp bool) *fake.Response) *fake.NameServer {
	t.Helper()
	s, err := fake.NewNameServer(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// respondWith returns a function that responds to each query with the records.
func respondWith(lines ...string) func(dns.Question, bool) *fake.Response {
	return func(dns.Question, bool) *fake.Response { return &fake.Response{Records: lines} }
}

func TestResolveReturnsAddressesAndShortestTTL(t *testing.T) {
	for name, c := range map[string]struct {
		srv     bool
		respond func(q dns.Question, tcp bool) *fake.Response
		want    string // addresses, or a part of the error
		ttl     time.Duration
	}{
		"A and AAAA": {respond: respondWith("p.test. 30 IN A 127.0.0.1", "P.test. 20 IN AAAA ::1", "other.test. 1 IN A 127.0.0.9"),
			want: "127.0.0.1:7 [::1]:7", ttl: 20 * time.Second},
		"A without AAAA": {respond: func(q dns.Question, _ bool) *fake.Response {
			if q.Qtype != dns.TypeA {
				return &fake.Response{}
			}
			return &fake.Response{Records: []string{"p.test. 9 IN A 127.0.0.3"}}
		}, want: "127.0.0.3:7", ttl: 9 * time.Second},
		"no such name": {respond: func(dns.Question, bool) *fake.Response { return &fake.Response{Rcode: dns.RcodeNameError} },
			want: "", ttl: 5 * time.Second},
		"TTL 0":          {respond: respondWith("p.test. 0 IN A 127.0.0.1"), want: "127.0.0.1:7", ttl: 0},
		"server failure": {respond: func(dns.Question, bool) *fake.Response { return &fake.Response{Rcode: dns.RcodeServerFailure} }, want: "SERVFAIL"},
		"A found, AAAA fails": {respond: func(q dns.Question, _ bool) *fake.Response {
			if q.Qtype == dns.TypeAAAA {
				return &fake.Response{Rcode: dns.RcodeServerFailure}
			}
			return &fake.Response{Records: []string{"p.test. 9 IN A 127.0.0.3"}}
		}, want: "AAAA: SERVFAIL"},
		"truncated over UDP, complete over TCP": {respond: func(_ dns.Question, tcp bool) *fake.Response {
			if !tcp {
				return &fake.Response{Records: []string{"p.test. 9 IN A 127.0.0.3"}, Truncated: true}
			}
			return &fake.Response{Records: []string{"p.test. 9 IN A 127.0.0.3", "p.test. 9 IN A 127.0.0.4"}}
		}, want: "127.0.0.3:7 127.0.0.4:7", ttl: 9 * time.Second},
		"truncated over UDP and TCP": {respond: func(dns.Question, bool) *fake.Response {
			return &fake.Response{Records: []string{"p.test. 9 IN A 127.0.0.3"}, Truncated: true}
		}, want: "response truncated over UDP and TCP"},
		"SRV with glue, lowest priority": {srv: true, respond: func(q dns.Question, _ bool) *fake.Response {
			return &fake.Response{Records: []string{"p.test. 8 IN SRV 1 0 80 a.test.", "p.test. 8 IN SRV 1 9 81 a.test.", "p.test. 8 IN SRV 2 0 82 b.test."},
				Extra: []string{"a.test. 6 IN A 127.0.0.5", "b.test. 1 IN A 127.0.0.6"}}
		}, want: "127.0.0.5:80 127.0.0.5:81", ttl: 6 * time.Second},
		"SRV without glue": {srv: true, respond: respondWith("p.test. 8 IN SRV 1 0 80 a.test.", "a.test. 4 IN A 127.0.0.5"),
			want: "127.0.0.5:80", ttl: 4 * time.Second},
		"SRV, service not available": {srv: true, respond: respondWith("p.test. 8 IN SRV 0 0 0 ."), want: "", ttl: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startNameServer(t, c.respond)
			d := &DNS{Name: "p.test", SRV: c.srv, Port: 7, Zone: "a", Server: s.Addr}
			entries, ttl, err := d.resolve(t.Context())
			var got []string
			for _, e := range entries {
				got = append(got, e.Address)
			}
			slices.Sort(got)
			switch {
			case err != nil:
				if c.want == "" || !strings.Contains(err.Error(), c.want) {
					t.Error(err)
				}
			case strings.Join(got, " ") != c.want || ttl != c.ttl:
				t.Errorf("addresses %v with TTL %v, want %q with TTL %v", got, ttl, c.want, c.ttl)
			}
		})
	}
}

// Guards against losing members to a faulty name server: empty, missing or truncated responses leave the members in place. A later valid
// response is applied. The records have TTL 0, which must not cause a flood of queries.
func TestFaultyDNSResponsesKeepMembers(t *testing.T) {
	t.Parallel()
	s := startNameServer(t, respondWith("p.test. 0 IN A 127.0.0.1", "p.test. 0 IN A 127.0.0.2"))
	c := startCluster(t, Config{Name: "p", EmptyHold: time.Hour, Sources: []Source{{DNS: &DNS{Name: "p.test", Port: 7, Zone: "a", Server: s.Addr, unit: 20 * time.Millisecond}}}})
	lbtest.Until(t, "both addresses are members", func() bool { return len(c.Members()) == 2 })
	for name, respond := range map[string]func(dns.Question, bool) *fake.Response{
		"empty response":     func(dns.Question, bool) *fake.Response { return &fake.Response{} },
		"no response":        func(dns.Question, bool) *fake.Response { return nil },
		"truncated response": func(dns.Question, bool) *fake.Response { return &fake.Response{Truncated: true} },
	} {
		s.Set(respond)
		for range 4 { // at least the A and AAAA queries of the next resolution
			select {
			case <-s.Queries():
			case <-time.After(lbtest.Wait):
				t.Fatalf("%s: no further query", name)
			}
		}
		if n := len(c.Members()); n != 2 {
			t.Fatalf("%s: %d members, want 2", name, n)
		}
	}
	s.Set(respondWith("p.test. 1 IN A 127.0.0.2", "p.test. 1 IN A 127.0.0.3"))
	lbtest.Until(t, "the members are those of the new response", func() bool {
		m := c.Members()
		return len(m) == 2 && m[1].Address == "127.0.0.3:7"
	})
}

func TestResolveWithoutResponseFails(t *testing.T) {
	t.Parallel()
	s := startNameServer(t, func(dns.Question, bool) *fake.Response { return nil })
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-s.Queries(); cancel() }()
	d := &DNS{Name: "p.test", Port: 7, Server: s.Addr}
	if _, _, err := d.resolve(ctx); err == nil {
		t.Error("resolve succeeded without a response from the name server")
	}
}
