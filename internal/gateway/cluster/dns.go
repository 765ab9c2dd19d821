package cluster

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"silvertrail/internal/base/endpointlist"

	"github.com/miekg/dns"
)

// DNS is a name whose addresses are endpoints.
type DNS struct {
	Name   string // fully qualified or not; no search list is applied
	SRV    bool   // ask for SRV, which brings ports; else for A and AAAA
	Port   uint16 // for A and AAAA
	Zone   string
	Server string // address and port of the name server

	unit time.Duration // of the times below; 0: a second. Tests use a shorter one
}

// Times, in units of a second.
const (
	dnsTimeout = 2   // for one question and its answer, each over UDP and TCP
	minTTL     = 1   // TTL 0 forbids caching; a name server is still not asked for each request
	emptyTTL   = 5   // of a response without a TTL
	maxTTL     = 300 // a change is noticed within this time, whatever the TTL
	dnsBackoff = 1   // after the first failure, doubled up to maxBackoff
	maxBackoff = 5
)

// maxTargets bounds the names of an SRV response, each of which may be resolved by itself.
const maxTargets = 64

func (d *DNS) units(n time.Duration) time.Duration { return n * cmp.Or(d.unit, time.Second) }

// run resolves the name each time that the shortest TTL has expired, until ctx ends. A response without addresses (also NXDOMAIN) is an
// empty list; without a usable response the source is unreachable.
func (d *DNS) run(ctx context.Context, report reportFunc, log *slog.Logger) {
	backoff := d.units(dnsBackoff)
	for {
		entries, ttl, err := d.resolve(ctx)
		if ctx.Err() != nil {
			return
		}
		wait := jitter(min(max(ttl, d.units(minTTL)), d.units(maxTTL)))
		if err != nil {
			log.Warn("name not resolved, the last list is kept", "name", d.Name, "error", err)
			report(unreachable, nil)
			wait, backoff = jitter(backoff), min(2*backoff, d.units(maxBackoff))
		} else {
			backoff = d.units(dnsBackoff)
			report(fullList, entries)
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

// resolve returns the endpoints and the shortest TTL.
func (d *DNS) resolve(ctx context.Context) ([]endpointlist.Endpoint, time.Duration, error) {
	name := dns.Fqdn(d.Name)
	if !d.SRV {
		addrs, ttl, err := d.addresses(ctx, name)
		if err != nil {
			return nil, 0, err
		}
		return d.members(addrs, d.Port), ttl, nil
	}
	m, err := d.query(ctx, name, dns.TypeSRV)
	if err != nil {
		return nil, 0, err
	}
	ttl := d.units(maxTTL)
	var targets []*dns.SRV
	for _, rr := range m.Answer {
		// A target of "." says that the service is not available (RFC 2782).
		if srv, ok := rr.(*dns.SRV); ok && srv.Target != "." {
			targets = append(targets, srv)
			ttl = min(ttl, seconds(srv.Hdr.Ttl))
		}
	}
	if len(targets) == 0 {
		return nil, min(ttl, d.negativeTTL(m)), nil
	}
	// The lowest priority is used. Weights are not: the policy picks by latency and load.
	best := slices.MinFunc(targets, func(a, b *dns.SRV) int { return int(a.Priority) - int(b.Priority) }).Priority
	targets = slices.DeleteFunc(targets, func(s *dns.SRV) bool { return s.Priority != best })
	if len(targets) > maxTargets {
		return nil, 0, fmt.Errorf("%d targets of one priority, over %d", len(targets), maxTargets)
	}
	var out []endpointlist.Endpoint
	for _, srv := range targets {
		addrs, least := addressesOf(m.Extra, srv.Target)
		if len(addrs) == 0 {
			if addrs, least, err = d.addresses(ctx, srv.Target); err != nil {
				return nil, 0, err
			}
		}
		ttl = min(ttl, least)
		out = append(out, d.members(addrs, srv.Port)...)
	}
	return out, ttl, nil
}

func (d *DNS) members(addrs []netip.Addr, port uint16) (out []endpointlist.Endpoint) {
	for _, a := range addrs {
		out = append(out, endpointlist.Endpoint{Address: netip.AddrPortFrom(a, port).String(), Zone: d.Zone, Status: ready})
	}
	return out
}

// addresses queries A and AAAA. Either may be empty; where one fails both do, as else half of the members would be lost.
func (d *DNS) addresses(ctx context.Context, name string) (out []netip.Addr, ttl time.Duration, err error) {
	ttl = d.units(maxTTL)
	for _, kind := range []uint16{dns.TypeA, dns.TypeAAAA} {
		m, err := d.query(ctx, name, kind)
		if err != nil {
			return nil, 0, err
		}
		addrs, least := addressesOf(m.Answer, name)
		out = append(out, addrs...)
		if len(addrs) > 0 {
			ttl = min(ttl, least)
		}
	}
	if len(out) == 0 {
		ttl = d.units(emptyTTL)
	}
	return out, ttl, nil
}

// maxAliases bounds a chain of aliases.
const maxAliases = 8

// addressesOf returns the addresses of a name among records, following its aliases, and their shortest TTL.
func addressesOf(records []dns.RR, name string) (out []netip.Addr, ttl time.Duration) {
	ttl = time.Duration(math.MaxInt64)
	for range maxAliases {
		alias := ""
		for _, rr := range records {
			h := rr.Header()
			if !strings.EqualFold(h.Name, name) {
				continue
			}
			var ip net.IP
			switch r := rr.(type) {
			case *dns.A:
				ip = r.A
			case *dns.AAAA:
				ip = r.AAAA
			case *dns.CNAME:
				alias = r.Target
			default:
				continue
			}
			ttl = min(ttl, seconds(h.Ttl))
			if a, ok := netip.AddrFromSlice(ip); ok {
				out = append(out, a.Unmap())
			}
		}
		if len(out) > 0 || alias == "" {
			break
		}
		name = alias
	}
	return out, ttl
}

func seconds(ttl uint32) time.Duration { return time.Duration(ttl) * time.Second }

// negativeTTL returns how long a negative response may be cached (RFC 2308, 5).
func (d *DNS) negativeTTL(m *dns.Msg) time.Duration {
	for _, rr := range m.Ns {
		if soa, ok := rr.(*dns.SOA); ok {
			return seconds(min(soa.Hdr.Ttl, soa.Minttl))
		}
	}
	return d.units(emptyTTL)
}

// query asks one question, over TCP where the response over UDP is truncated. One that is truncated there, too, is an error.
func (d *DNS) query(ctx context.Context, name string, kind uint16) (*dns.Msg, error) {
	q := new(dns.Msg)
	q.SetQuestion(name, kind)
	q.SetEdns0(1232, false)
	for _, network := range []string{"udp", "tcp"} {
		c := dns.Client{Net: network, Timeout: d.units(dnsTimeout)}
		m, _, err := c.ExchangeContext(ctx, q, d.Server)
		switch {
		case err != nil:
			return nil, fmt.Errorf("%s %s over %s: %w", name, dns.TypeToString[kind], network, err)
		case len(m.Question) != 1 || !strings.EqualFold(m.Question[0].Name, name) || m.Question[0].Qtype != kind:
			return nil, fmt.Errorf("%s %s: the answer to another question", name, dns.TypeToString[kind])
		case m.Truncated:
			continue
		case m.Rcode != dns.RcodeSuccess && m.Rcode != dns.RcodeNameError:
			return nil, fmt.Errorf("%s %s: %s", name, dns.TypeToString[kind], dns.RcodeToString[m.Rcode])
		}
		return m, nil
	}
	return nil, fmt.Errorf("%s %s: cut short", name, dns.TypeToString[kind])
}

// SystemServer returns the first name server of the system's configuration.
func SystemServer() (string, error) {
	c, err := dns.ClientConfigFromFile("/etc/resolv.conf")
	if err != nil {
		return "", err
	}
	if len(c.Servers) == 0 {
		return "", errors.New("/etc/resolv.conf names no name server")
	}
	port, err := strconv.ParseUint(c.Port, 10, 16)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(c.Servers[0], strconv.FormatUint(port, 10)), nil
}
