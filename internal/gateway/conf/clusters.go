package conf

import (
	"math"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/gateway/cluster"
	"silvertrail/lbpolicy"
)

// cluster reads a cluster block. The number of clusters, n, determines the default reserve and maximum share.
func (p *parser) cluster(b *hcl.Block, settings lbpolicy.Settings, zones []string, n int) cluster.Config {
	s := p.decodeBlock("cluster "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"connect_timeout", "idle", "max_attempts", "hedge",
		"warm_up", "start_capacity", "fall_multiple", "fall_window", "crossing_price", "load_report", "reserve", "most", "empty_hold"},
		map[string]int{"endpoint": 1, "file": 0, "dns": 0, "registry": 0, "xds": 0})
	c := cluster.Config{Name: b.Labels[0]}
	settings.MaxAttempts = s.integer("max_attempts", 3, 1, 10)
	settings.MayCancel, settings.SendsRetryAfter = true, true
	settings.MaxRetryAfter = 5 * time.Second
	settings.MayHedge = !s.has("hedge") || s.boolean("hedge")
	settings.InitialCapacity = s.number("start_capacity", 0.2, 0, 1)
	settings.SlowStart = s.duration("warm_up", 0, 0, time.Hour)
	settings.OverloadMultiple = s.number("fall_multiple", 2.5, 1, 100)
	settings.OverloadWindow = s.duration("fall_window", 2*time.Second, 100*time.Millisecond, time.Minute)
	settings.CrossZonePrice = s.number("crossing_price", 0.01, 0, 1)
	c.IdleTimeout = s.duration("idle", 5*time.Second, 50*time.Millisecond, time.Hour)
	settings.ConnIdleTimeout = c.IdleTimeout
	c.ConnectTimeout = s.duration("connect_timeout", time.Second, time.Millisecond, time.Minute)
	for _, l := range s.list("load_report") {
		c.ReportFields = append(c.ReportFields, l.text)
		settings.ReportFields = append(settings.ReportFields, lbpolicy.ReportFieldsByName[l.text])
	}
	c.Policy, c.Zones = settings, zones
	c.ReserveFraction = s.percentage("reserve", 0.5/float64(max(n, 1)))
	c.MaxFraction = s.percentage("most", max(0.5, 1/float64(max(n, 1))))
	if c.ReserveFraction > c.MaxFraction {
		s.report(s.rangeOf("reserve"), "Reserve over the most", "%s reserves %.0f%% and may take %.0f%%.", s.name, c.ReserveFraction*100, c.MaxFraction*100)
	}
	c.EmptyHold = s.duration("empty_hold", 30*time.Second, 0, time.Hour)
	p.sources(s, &c, zones)
	p.xdsSource(s, &c, zones)
	if len(c.Sources) == 0 {
		s.report(s.at, "No source", "%s needs an endpoint, file, dns, registry or xds block.", s.name)
	}
	return c
}

// sources reads the sources of a cluster's endpoints, except its xds block. All endpoint blocks together form one static source.
func (p *parser) sources(s *block, c *cluster.Config, zones []string) {
	var static *cluster.Static
	for _, b := range s.blocks {
		switch b.Type {
		case "endpoint":
			entry := p.endpoint(b, zones)
			if static == nil {
				static = &cluster.Static{}
				c.Sources = append(c.Sources, cluster.Source{Static: static})
			}
			if slices.ContainsFunc(static.Endpoints, func(o endpointlist.Endpoint) bool { return o.Name == entry.Name }) {
				p.report(b.LabelRanges[0], "Named twice", "%s has an endpoint named %q already.", s.name, entry.Name)
			}
			static.Endpoints = append(static.Endpoints, entry)
		case "file":
			c.Sources = append(c.Sources, cluster.Source{File: p.fileSource(b, s, zones)})
		case "dns":
			c.Sources = append(c.Sources, cluster.Source{DNS: p.dnsSource(b, s, zones)})
		case "registry":
			c.Sources = append(c.Sources, cluster.Source{Registry: p.registrySource(b, s)})
		}
	}
}

func (p *parser) endpoint(b *hcl.Block, zones []string) endpointlist.Endpoint {
	e := p.decodeBlock("endpoint "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"address", "zone", "group", "status", "weight"}, nil)
	e.require("address")
	entry := endpointlist.Endpoint{
		Name:    b.Labels[0],
		Address: e.text("address", ""),
		Zone:    p.zone(e, zones),
		Group:   e.integer("group", 0, 0, 1<<30),
		Status:  e.oneOf("status", "ready", "ready", "draining"),
		Weight:  e.number("weight", 0, 0.001, 1), // 0: another source may set the weight
	}
	if err := cluster.NormaliseEndpoint(&entry, zones[0]); err != nil && e.has("address") {
		e.report(e.rangeOf("address"), "Not an address", "%s.", err)
	}
	return entry
}

func (p *parser) fileSource(b *hcl.Block, s *block, zones []string) *cluster.File {
	e := p.decodeBlock("a file of "+s.name, b.DefRange, b.Body, []string{"path", "poll", "zone"}, nil)
	e.require("path")
	return &cluster.File{
		Path: p.path(e, "path"),
		Poll: e.duration("poll", 200*time.Millisecond, 10*time.Millisecond, time.Hour),
		Zone: p.zone(e, zones),
	}
}

func (p *parser) dnsSource(b *hcl.Block, s *block, zones []string) *cluster.DNS {
	e := p.decodeBlock("dns of "+s.name, b.DefRange, b.Body, []string{"name", "type", "port", "zone", "server"}, nil)
	e.require("name")
	source := &cluster.DNS{
		Name:   e.text("name", ""),
		SRV:    e.oneOf("type", "A", "A", "SRV") == "SRV",
		Port:   uint16(e.integer("port", 0, 1, math.MaxUint16)),
		Zone:   p.zone(e, zones),
		Server: e.text("server", ""),
	}
	if source.SRV == e.has("port") {
		e.report(e.rangeOf("port"), "Port", "Type \"A\" needs a \"port\"; \"SRV\" brings its own.")
	}
	if !e.has("server") {
		var err error
		if source.Server, err = cluster.SystemServer(); err != nil {
			e.report(e.at, "No name server", "No \"server\" is told, and the system has none: %s.", err)
		}
	} else if _, port, err := net.SplitHostPort(source.Server); err != nil || port == "" {
		e.report(e.rangeOf("server"), "Not an address", "%q is no address and port.", source.Server)
	}
	return source
}

func (p *parser) registrySource(b *hcl.Block, s *block) *cluster.Registry {
	e := p.decodeBlock("a registry of "+s.name, b.DefRange, b.Body, []string{"address"}, nil)
	e.require("address")
	address := e.text("address", "")
	if _, err := netip.ParseAddrPort(address); err != nil && e.has("address") {
		e.report(e.rangeOf("address"), "Not an address", "%q is no IP address and port.", address)
	}
	return &cluster.Registry{Address: address}
}

// zone reads the attribute "zone". The default is the first zone of the process.
func (p *parser) zone(s *block, zones []string) string {
	name := s.text("zone", zones[0])
	if s.has("zone") {
		p.requireDefined("zone", locatedText{name, s.rangeOf("zone")})
	}
	return name
}
