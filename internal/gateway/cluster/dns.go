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

// DNS is a name whose addresses are the members.
type DNS struct {
	Name   string // fully qualified or not; no search list is applied
	SRV    bool   // ask for SRV, which brings ports; else for A and AAAA
	Port   uint16 // for A and AAAA
	Zone   string
	Server string // address and port of the name server

	unit time.Duration // of all times that follow; 0: a second
}

// Times, in units of a second.
const (
	dnsTimeout = 2   // for one question and its answer, each over UDP and TCP
	minTTL     = 1   // TTL 0 means "don't keep"; a name server is still not asked for each request
	emptyTTL   = 5   // of an answer that tells no TTL
	maxTTL     = 300 // a change is noticed within it, whatever the answer allows
	dnsBackoff = 1   // after the first failure, doubled up to maxBackoff
	maxBackoff = 5
)

const maxTargets = 64 // of an SRV answer, names looked up further

func (d *DNS) units(n time.Duration) time.Duration { return n * cmp.Or(d.unit, time.Second) }

// run asks again when the shortest TTL of the last answer is over. An answer of no addresses (also NXDOMAIN) is empty;
// one that fails, is refused, or does not come, is out of reach.
func (d *DNS) run(ctx context.Context, say reportFunc, log *slog.Logger) {
	backoff := d.units(dnsBackoff)
	for {
		entries, ttl, err := d.resolve(ctx)
		if ctx.Err() != nil {
			return
		}
		wait := jitter(min(max(ttl, d.units(minTTL)), d.units(maxTTL)))
		if err != nil {
			log.Warn("name server: what it said last stands", "name", d.Name, "error", err)
			say(unreachable, nil)
			wait, backoff = jitter(backoff), min(2*backoff, d.units(maxBackoff))
		} else {
			backoff = d.units(dnsBackoff)
			say(fullList, entries)
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

// resolve returns the members and the shortest TTL.
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
		// A target of "." says that the service is decidedly not there (RFC 2782).
		if srv, ok := rr.(*dns.SRV); ok && srv.Target != "." {
			targets = append(targets, srv)
			ttl = min(ttl, seconds(srv.Hdr.Ttl))
		}
	}
	if len(targets) == 0 {
		return nil, min(ttl, d.negativeTTL(m)), nil
	}
	// The lowest priority is the one in use; weights are not: the pick is for the decisions, by latency and load.
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

// addresses asks for A and AAAA. Either may be empty; where one fails both do, or half of the members would go.
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

// addressesOf returns the addresses of a name among records, by way of its aliases.
func addressesOf(records []dns.RR, name string) (out []netip.Addr, ttl time.Duration) {
	ttl = time.Duration(math.MaxInt64)
	for range 8 { // aliases in a row
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

// negativeTTL is how long "there is none" may be kept (RFC 2308, 5).
func (d *DNS) negativeTTL(m *dns.Msg) time.Duration {
	for _, rr := range m.Ns {
		if soa, ok := rr.(*dns.SOA); ok {
			return seconds(min(soa.Hdr.Ttl, soa.Minttl))
		}
	}
	return d.units(emptyTTL)
}

// query asks one question, over TCP where the answer over UDP is cut short. What is cut short there too is no answer.
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

// SystemServer returns the first name server that the system is told to ask.
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
