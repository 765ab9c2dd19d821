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

func startNameServer(t *testing.T, answer func(q dns.Question, tcp bool) *fake.Response) *fake.NameServer {
	t.Helper()
	s, err := fake.NewNameServer(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func respondWith(lines ...string) func(dns.Question, bool) *fake.Response {
	return func(dns.Question, bool) *fake.Response { return &fake.Response{Records: lines} }
}

func TestLookUp(t *testing.T) {
	for name, c := range map[string]struct {
		srv    bool
		answer func(q dns.Question, tcp bool) *fake.Response
		want   string // addresses, or what the error says
		ttl    time.Duration
	}{
		"A and AAAA": {answer: respondWith("p.test. 30 IN A 127.0.0.1", "P.test. 20 IN AAAA ::1", "other.test. 1 IN A 127.0.0.9"),
			want: "127.0.0.1:7 [::1]:7", ttl: 20 * time.Second},
		"alias": {answer: func(q dns.Question, _ bool) *fake.Response {
			if q.Qtype != dns.TypeA {
				return &fake.Response{}
			}
			return &fake.Response{Records: []string{"p.test. 9 IN A 127.0.0.3"}}
		}, want: "127.0.0.3:7", ttl: 9 * time.Second},
		"no such name": {answer: func(dns.Question, bool) *fake.Response { return &fake.Response{Rcode: dns.RcodeNameError} },
			want: "", ttl: 5 * time.Second},
		"TTL 0":          {answer: respondWith("p.test. 0 IN A 127.0.0.1"), want: "127.0.0.1:7", ttl: 0},
		"server failure": {answer: func(dns.Question, bool) *fake.Response { return &fake.Response{Rcode: dns.RcodeServerFailure} }, want: "SERVFAIL"},
		"half a failure": {answer: func(q dns.Question, _ bool) *fake.Response {
			if q.Qtype == dns.TypeAAAA {
				return &fake.Response{Rcode: dns.RcodeServerFailure}
			}
			return &fake.Response{Records: []string{"p.test. 9 IN A 127.0.0.3"}}
		}, want: "AAAA: SERVFAIL"},
		"cut short, whole over TCP": {answer: func(_ dns.Question, tcp bool) *fake.Response {
			if !tcp {
				return &fake.Response{Records: []string{"p.test. 9 IN A 127.0.0.3"}, Truncated: true}
			}
			return &fake.Response{Records: []string{"p.test. 9 IN A 127.0.0.3", "p.test. 9 IN A 127.0.0.4"}}
		}, want: "127.0.0.3:7 127.0.0.4:7", ttl: 9 * time.Second},
		"cut short for good": {answer: func(dns.Question, bool) *fake.Response {
			return &fake.Response{Records: []string{"p.test. 9 IN A 127.0.0.3"}, Truncated: true}
		}, want: "cut short"},
		"SRV with glue, lowest priority": {srv: true, answer: func(q dns.Question, _ bool) *fake.Response {
			return &fake.Response{Records: []string{"p.test. 8 IN SRV 1 0 80 a.test.", "p.test. 8 IN SRV 1 9 81 a.test.", "p.test. 8 IN SRV 2 0 82 b.test."},
				Extra: []string{"a.test. 6 IN A 127.0.0.5", "b.test. 1 IN A 127.0.0.6"}}
		}, want: "127.0.0.5:80 127.0.0.5:81", ttl: 6 * time.Second},
		"SRV without glue": {srv: true, answer: respondWith("p.test. 8 IN SRV 1 0 80 a.test.", "a.test. 4 IN A 127.0.0.5"),
			want: "127.0.0.5:80", ttl: 4 * time.Second},
		"SRV, not there": {srv: true, answer: respondWith("p.test. 8 IN SRV 0 0 0 ."), want: "", ttl: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startNameServer(t, c.answer)
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
				t.Errorf("got %v for %v, want %q for %v", got, ttl, c.want, c.ttl)
			}
		})
	}
}

// What a name server says when it is empty, silent or cut short takes no member away; TTL 0 does not make a flood of
// questions; what it says again counts again.
func TestDNSCluster(t *testing.T) {
	t.Parallel()
	s := startNameServer(t, respondWith("p.test. 0 IN A 127.0.0.1", "p.test. 0 IN A 127.0.0.2"))
	c := startCluster(t, Config{Name: "p", EmptyHold: time.Hour, Sources: []Source{{DNS: &DNS{Name: "p.test", Port: 7, Zone: "a", Server: s.Addr, unit: 20 * time.Millisecond}}}})
	lbtest.Until(t, "two members", func() bool { return len(c.Members()) == 2 })
	for name, answer := range map[string]func(dns.Question, bool) *fake.Response{
		"empty":     func(dns.Question, bool) *fake.Response { return &fake.Response{} },
		"none":      func(dns.Question, bool) *fake.Response { return nil },
		"cut short": func(dns.Question, bool) *fake.Response { return &fake.Response{Truncated: true} },
	} {
		s.Set(answer)
		for range 4 { // A and AAAA of the next round at the least
			select {
			case <-s.Queries():
			case <-time.After(lbtest.Wait):
				t.Fatalf("%s: not asked again", name)
			}
		}
		if n := len(c.Members()); n != 2 {
			t.Fatalf("%s: %d members are left", name, n)
		}
	}
	s.Set(respondWith("p.test. 1 IN A 127.0.0.2", "p.test. 1 IN A 127.0.0.3"))
	lbtest.Until(t, "other members", func() bool {
		m := c.Members()
		return len(m) == 2 && m[1].Address == "127.0.0.3:7"
	})
}

func TestSilentNameServer(t *testing.T) {
	t.Parallel()
	s := startNameServer(t, func(dns.Question, bool) *fake.Response { return nil })
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-s.Queries(); cancel() }()
	d := &DNS{Name: "p.test", Port: 7, Server: s.Addr}
	if _, _, err := d.resolve(ctx); err == nil {
		t.Error("an answer out of nothing")
	}
}
