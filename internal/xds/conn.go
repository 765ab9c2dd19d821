package xds

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/types/known/anypb"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/edge/certs"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/envoy"
	"silvertrail/internal/xds/known"
	"silvertrail/internal/xds/planes"
)

const (
	window    = 256 << 10 // bytes that a plane may send ahead of what is applied, beside the message in hand
	maxFaults = 20        // resources that a refusal names
	faultText = 4 << 10   // bytes of it
	signIn    = 5 * time.Second
)

// conn is a connection to a control plane, and the stream on it.
type conn struct {
	c     *Client
	n     int // of the plane
	plane planes.ControlPlane
	ctx   context.Context
	end   context.CancelFunc

	// Under the client's lock:

	session *ads.Session       // nil: there is no stream
	id      updateorder.Stream // of the stream; zero: it is not listened to
	up      bool
	said    bool     // the stream has said something
	passed  bool     // the stream has said something that was passed over
	restart bool     // it is to be opened anew
	wanted  []string // of a file: when it was taken last
	cancel  context.CancelFunc
	work    chan struct{} // holds a token when there may be something to send
}

// connect connects to a plane. The caller holds the lock.
func (c *Client) connect(i int) {
	k := &conn{c: c, n: i, plane: c.o.ControlPlanes[i], work: make(chan struct{}, 1), cancel: func() {}}
	k.ctx, k.end = context.WithCancel(c.ctx)
	c.conns[i] = k
	o, turn := c.o, c.turn
	c.wait.Go(func() {
		defer k.end()
		err := k.run(o)
		c.mu.Lock()
		defer c.mu.Unlock()
		k.close()
		if c.turn != turn || c.conns[i] != k || c.ended {
			return
		}
		c.log.Warn("xds: control plane lost", "plane", k.plane.Name, "error", err)
		c.conns[i] = nil
		c.order.MarkDown(time.Now(), i)
		c.step()
	})
}

// close ends the stream for what is known of it. The caller holds the lock.
func (k *conn) close() {
	if k.id != 0 {
		k.c.store.StreamEnded(k.id)
	}
	k.session, k.id = nil, 0
}

// heed has the plane that is listened to heard, and no other one. The caller holds the lock.
func (c *Client) heed() {
	at, ok := c.order.Active()
	for i, k := range c.conns {
		switch {
		case k == nil:
		case k.id != 0 && (!ok || i != at):
			c.store.StreamEnded(k.id)
			k.id, k.passed = 0, true
		case k.id == 0 && ok && i == at && k.passed: // what it has said so far was passed over: it is to say it again
			c.log.Info("xds: listening to another control plane", "plane", k.plane.Name)
			k.passed, k.restart = false, true
			k.cancel()
		}
	}
}

func (k *conn) wake() {
	select {
	case k.work <- struct{}{}:
	default:
	}
}

// run keeps the connection until it fails or is ended.
func (k *conn) run(o planes.Options) error {
	if k.plane.File != "" {
		return k.follow(o)
	}
	creds, err := Credentials(k.plane, k.c.log)
	if err != nil {
		return err
	}
	cc, err := grpc.NewClient("passthrough:///"+k.plane.Address, grpc.WithTransportCredentials(creds),
		grpc.WithInitialWindowSize(window), grpc.WithInitialConnWindowSize(window),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(o.MaxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: o.KeepaliveTime, Timeout: signIn}),
		// The planes' order has its own backoff: a connection is tried once.
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: time.Hour, MaxDelay: time.Hour, Multiplier: 1}, MinConnectTimeout: o.Selection.ResponseTimeout}))
	if err != nil {
		return err
	}
	defer cc.Close()
	for {
		err := k.stream(o, discoveryv3.NewAggregatedDiscoveryServiceClient(cc))
		k.c.mu.Lock()
		again := k.restart && k.ctx.Err() == nil
		k.restart = false
		k.close()
		k.c.mu.Unlock()
		if !again {
			return err
		}
	}
}

// Credentials returns how a control plane is connected to.
func Credentials(p planes.ControlPlane, log *slog.Logger) (credentials.TransportCredentials, error) {
	if p.Insecure {
		return insecure.NewCredentials(), nil
	}
	host := cmp.Or(p.ServerName, hostOf(p.Address))
	if p.TLS == (certs.Files{}) {
		return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS12, ServerName: host}), nil
	}
	if p.TLS.Certificate == "" {
		roots, err := certs.Authority(p.TLS.Authority)
		return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS12, ServerName: host, RootCAs: roots}), err
	}
	proof, err := certs.Open(p.TLS, log) // read anew with each connection
	if err != nil {
		return nil, err
	}
	pair, roots, _ := proof.Current()
	return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS12, ServerName: host, RootCAs: roots,
		Certificates: []tls.Certificate{pair}}), nil
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// wire is a stream in one of the two variants.
type wire interface {
	send(r ads.Request, n *corev3.Node) error
	receive() (*received, error)
}

// received is a response.
type received struct {
	kind      ads.Kind
	version   string
	nonce     string
	whole     bool
	resources []resource
	gone      []string
}

type resource struct {
	name, version string // name: where the variant tells it beside the resource
	any           *anypb.Any
}

// stream runs one stream to its end.
func (k *conn) stream(o planes.Options, client discoveryv3.AggregatedDiscoveryServiceClient) error {
	c := k.c
	ctx, cancel := context.WithCancel(k.ctx)
	defer cancel()
	var w wire
	if o.Variant == ads.Delta {
		s, err := client.DeltaAggregatedResources(ctx)
		if err != nil {
			return err
		}
		w = delta{s}
	} else {
		s, err := client.StreamAggregatedResources(ctx)
		if err != nil {
			return err
		}
		w = world{s}
	}
	c.mu.Lock()
	if k.ctx.Err() != nil {
		c.mu.Unlock()
		return k.ctx.Err()
	}
	k.cancel = cancel
	k.session = ads.NewSession(o.Variant)
	for kind := range ads.KindCount {
		k.session.SetInitialVersions(kind, c.store.Versions(kind))
	}
	k.passed, k.id, k.said = false, 0, false
	// Also where the plane is up already, and its stream was opened anew.
	mute := time.AfterFunc(o.Selection.ResponseTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !k.said && ctx.Err() == nil {
			c.log.Warn("xds: a stream on which nothing has come", "plane", k.plane.Name)
			cancel()
		}
	})
	defer mute.Stop()
	c.subscribe(k)
	c.mu.Unlock()
	k.wake()
	sent := make(chan error, 1)
	c.wait.Go(func() { sent <- k.send(ctx, cancel, w, o.Node) })
	d := &envoy.Decoder{Warn: c.warn}
	for {
		r, err := w.receive()
		switch {
		case err != nil:
		case r.kind == ads.KindCount:
			c.warn("a response of a type that is not known here is passed over")
		default:
			err = k.take(r, d)
		}
		if err != nil {
			cancel()
			if failed := <-sent; failed != nil && !errors.Is(failed, context.Canceled) {
				err = failed
			}
			return err
		}
	}
}

// send sends what the session wants sent, until the stream ends.
func (k *conn) send(ctx context.Context, cancel context.CancelFunc, w wire, n planes.Node) error {
	node := &corev3.Node{Id: n.ID, Cluster: n.Cluster, UserAgentName: "silvertrail",
		Locality: &corev3.Locality{Region: n.Region, Zone: n.Zone, SubZone: n.SubZone}}
	for {
		k.c.mu.Lock()
		var r ads.Request
		ok := false
		if k.session != nil {
			r, ok = k.session.NextRequest()
		}
		k.c.mu.Unlock()
		if !ok {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-k.work:
			}
			continue
		}
		if err := w.send(r, node); err != nil {
			cancel()
			return err
		}
		node = nil // the first alone names it
	}
}

// read checks the resources of a response. The faults are for its refusal.
func (r *received) read(d *envoy.Decoder) (m known.Response, faults []string) {
	m = known.Response{Kind: r.kind, Version: r.version, Complete: r.whole && r.kind == ads.Clusters, Removed: r.gone}
	at := map[string]bool{}
	for n, raw := range r.resources {
		i, err := d.Read(r.kind, raw.version, raw.any)
		if err == nil && raw.name != "" && i.Name != raw.name {
			err = &envoy.Error{Name: raw.name, Err: fmt.Errorf("the resource calls itself %q", i.Name)}
		}
		if err == nil && at[i.Name] {
			err = &envoy.Error{Name: i.Name, Err: errors.New("told twice")}
		}
		if err == nil {
			at[i.Name] = true
			m.Resources = append(m.Resources, i)
			continue
		}
		var bad *envoy.Error
		errors.As(err, &bad)
		name := cmp.Or(bad.Name, raw.name)
		faults = append(faults, fmt.Sprintf("%s %s: %v", r.kind, cmp.Or(name, fmt.Sprintf("number %d", n)), bad.Err))
		if name == "" {
			m.Complete = false // it may be any of those that are missing
		} else if !at[name] {
			m.Rejections = append(m.Rejections, known.Rejection{Name: name, Version: raw.version, Reason: bad.Err.Error()})
		}
	}
	return m, faults
}

// take applies a response. An error ends the stream.
func (k *conn) take(r *received, d *envoy.Decoder) error {
	m, faults := r.read(d)
	c := k.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.session == nil {
		return errors.New("the stream has ended")
	}
	err := k.session.Receive(r.kind, r.nonce)
	if err != nil && !errors.Is(err, ads.ErrNotSubscribed) {
		return err
	}
	fault := k.told(r.version, append(faults, k.apply(m)...))
	if err == nil { // what nobody has asked for yet is kept for a while, as that may follow; there is no subscription to answer it on
		k.session.Answer(r.kind, r.version, fault)
	}
	c.step()
	k.wake()
	return nil
}

// apply takes what a plane says, where it is listened to. The caller holds the lock.
func (k *conn) apply(m known.Response) (faults []string) {
	c, now := k.c, time.Now()
	k.said = true
	if !k.up {
		k.up = true
		c.order.MarkUp(now, k.n)
	}
	if at, ok := c.order.Active(); ok && at == k.n && k.id == 0 && !k.passed {
		c.streams++
		k.id = c.streams
		c.store.StreamStarted(now, k.id, k.plane.Name)
		c.log.Info("xds: control plane heard", "plane", k.plane.Name)
	}
	if k.id == 0 {
		k.passed = true
		return nil
	}
	for _, f := range c.store.Apply(now, k.id, m) {
		faults = append(faults, fmt.Sprintf("%s %s: %s", m.Kind, f.Name, f.Reason))
	}
	c.order.SetCached()
	c.saver.wake()
	return faults
}

// told logs what a response is turned away for, and returns it for the plane; empty: for nothing.
func (k *conn) told(version string, faults []string) string {
	if len(faults) == 0 {
		return ""
	}
	fault := strings.Join(faults[:min(len(faults), maxFaults)], "; ")
	if over := len(faults) - maxFaults; over > 0 {
		fault += fmt.Sprintf("; and %d more", over)
	}
	fault = strings.ToValidUTF8(fault[:min(len(fault), faultText)], "?")
	k.c.log.Warn("xds: turned away", "plane", k.plane.Name, "version", version, "fault", fault)
	return fault
}

func detail(fault string) *status.Status {
	if fault == "" {
		return nil
	}
	return &status.Status{Code: int32(codes.InvalidArgument), Message: fault}
}

// world is a stream of the state of the world.
type world struct {
	discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
}

func (s world) send(r ads.Request, n *corev3.Node) error {
	return s.Send(&discoveryv3.DiscoveryRequest{Node: n, TypeUrl: envoy.TypeOf(r.Kind), VersionInfo: r.Version, ResponseNonce: r.Nonce,
		ResourceNames: r.Names, ErrorDetail: detail(r.ErrorDetail)})
}

func (s world) receive() (*received, error) {
	m, err := s.Recv()
	if err != nil {
		return nil, err
	}
	r := &received{kind: envoy.KindOf(m.TypeUrl), version: m.VersionInfo, nonce: m.Nonce, whole: true}
	for _, a := range m.Resources {
		r.resources = append(r.resources, resource{version: m.VersionInfo, any: a})
	}
	return r, nil
}

// delta is an incremental stream.
type delta struct {
	discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
}

func (s delta) send(r ads.Request, n *corev3.Node) error {
	return s.Send(&discoveryv3.DeltaDiscoveryRequest{Node: n, TypeUrl: envoy.TypeOf(r.Kind), ResponseNonce: r.Nonce, ErrorDetail: detail(r.ErrorDetail),
		ResourceNamesSubscribe: r.Subscribe, ResourceNamesUnsubscribe: r.Unsubscribe, InitialResourceVersions: r.InitialVersions})
}

func (s delta) receive() (*received, error) {
	m, err := s.Recv()
	if err != nil {
		return nil, err
	}
	r := &received{kind: envoy.KindOf(m.TypeUrl), version: m.SystemVersionInfo, nonce: m.Nonce, gone: m.RemovedResources}
	for _, a := range m.Resources {
		r.resources = append(r.resources, resource{a.Name, a.Version, a.Resource})
	}
	return r, nil
}
