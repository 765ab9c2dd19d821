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

// DNS is a source that resolves a DNS name. Its addresses are the endpoints.
type DNS struct {
	Name   string // fully qualified or not; no search list is applied
	SRV    bool   // query SRV records, which contain ports; otherwise A and AAAA
	Port   uint16 // port of the endpoints for A and AAAA
	Zone   string // of all endpoints
	Server string // address and port of the name server

	unit time.Duration // unit of the times below; 0 means a second. Tests use a shorter unit
}

// Times in units of DNS.unit, by default a second.
const (
	dnsTimeout = 2   // for one query and its response, over UDP and again over TCP
	minTTL     = 1   // TTL 0 forbids caching, yet polling must not flood the name server
	emptyTTL   = 5   // for a response without a TTL
	maxTTL     = 300 // bounds the delay until a change is noticed, whatever the TTL
	dnsBackoff = 1   // after the first failure; doubled with each further failure, up to maxBackoff
	maxBackoff = 5
)

// maxTargets bounds the targets of an SRV response, because each may need queries of its own.
const maxTargets = 64

// units returns n of the source's time unit.
func (d *DNS) units(n time.Duration) time.Duration { return n * cmp.Or(d.unit, time.Second) }

// run resolves the name whenever the shortest TTL has expired, until ctx ends. It reports a response without addresses, or with NXDOMAIN,
// as an empty list. Without a usable response it reports the source as unreachable.
func (d *DNS) run(ctx context.Context, report reportFunc, log *slog.Logger) {
	backoff := d.units(dnsBackoff)
	for {
		entries, ttl, err := d.resolve(ctx)
		if ctx.Err() != nil {
			return
		}
		wait := jitter(min(max(ttl, d.units(minTTL)), d.units(maxTTL)))
		if err != nil {
			log.Warn("DNS name not resolved, the last list is kept", "name", d.Name, "error", err)
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

// resolve queries the name server once and returns the endpoints and the shortest TTL.
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
	// Only targets of the lowest priority are used. SRV weights are ignored, because the policy chooses by latency and load.
	best := slices.MinFunc(targets, func(a, b *dns.SRV) int { return int(a.Priority) - int(b.Priority) }).Priority
	targets = slices.DeleteFunc(targets, func(s *dns.SRV) bool { return s.Priority != best })
	if len(targets) > maxTargets {
		return nil, 0, fmt.Errorf("%d targets of one priority, over %d", len(targets), maxTargets)
	}
	var out []endpointlist.Endpoint
	for _, srv := range targets {
		addrs, shortest := addressesOf(m.Extra, srv.Target)
		if len(addrs) == 0 {
			if addrs, shortest, err = d.addresses(ctx, srv.Target); err != nil {
				return nil, 0, err
			}
		}
		ttl = min(ttl, shortest)
		out = append(out, d.members(addrs, srv.Port)...)
	}
	return out, ttl, nil
}

// members returns the endpoints for addresses with a port.
func (d *DNS) members(addrs []netip.Addr, port uint16) (out []endpointlist.Endpoint) {
	for _, a := range addrs {
		out = append(out, endpointlist.Endpoint{Address: netip.AddrPortFrom(a, port).String(), Zone: d.Zone, Status: ready})
	}
	return out
}

// addresses queries A and AAAA and returns the addresses and their shortest TTL. Either response may be empty. If one query fails, both
// fail, because otherwise half of the members would be lost.
func (d *DNS) addresses(ctx context.Context, name string) (out []netip.Addr, ttl time.Duration, err error) {
	ttl = d.units(maxTTL)
	for _, recordType := range []uint16{dns.TypeA, dns.TypeAAAA} {
		m, err := d.query(ctx, name, recordType)
		if err != nil {
			return nil, 0, err
		}
		addrs, shortest := addressesOf(m.Answer, name)
		out = append(out, addrs...)
		if len(addrs) > 0 {
			ttl = min(ttl, shortest)
		}
	}
	if len(out) == 0 {
		ttl = d.units(emptyTTL)
	}
	return out, ttl, nil
}

// maxAliases bounds the length of a chain of CNAME records.
const maxAliases = 8

// addressesOf returns the addresses that records give for a name, and the shortest TTL. It follows CNAME records.
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

// query sends one query over UDP, and again over TCP if the response is truncated. A response that is truncated over TCP too is an error.
func (d *DNS) query(ctx context.Context, name string, recordType uint16) (*dns.Msg, error) {
	q := new(dns.Msg)
	q.SetQuestion(name, recordType)
	q.SetEdns0(1232, false)
	for _, network := range []string{"udp", "tcp"} {
		c := dns.Client{Net: network, Timeout: d.units(dnsTimeout)}
		m, _, err := c.ExchangeContext(ctx, q, d.Server)
		switch {
		case err != nil:
			return nil, fmt.Errorf("%s %s over %s: %w", name, dns.TypeToString[recordType], network, err)
		case len(m.Question) != 1 || !strings.EqualFold(m.Question[0].Name, name) || m.Question[0].Qtype != recordType:
			return nil, fmt.Errorf("%s %s: response does not match the question", name, dns.TypeToString[recordType])
		case m.Truncated:
			continue
		case m.Rcode != dns.RcodeSuccess && m.Rcode != dns.RcodeNameError:
			return nil, fmt.Errorf("%s %s: %s", name, dns.TypeToString[recordType], dns.RcodeToString[m.Rcode])
		}
		return m, nil
	}
	return nil, fmt.Errorf("%s %s: response truncated over UDP and TCP", name, dns.TypeToString[recordType])
}

// SystemServer returns the first name server of the system's configuration.
func SystemServer() (string, error) {
	c, err := dns.ClientConfigFromFile("/etc/resolv.conf")
	if err != nil {
		return "", err
	}
	if len(c.Servers) == 0 {
		return "", errors.New("/etc/resolv.conf lists no name server")
	}
	port, err := strconv.ParseUint(c.Port, 10, 16)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(c.Servers[0], strconv.FormatUint(port, 10)), nil
}
