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
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/internal/xds/cache"
	"silvertrail/internal/xds/envoy"
)

const (
	receiveWindowBytes  = 256 << 10 // bytes that a plane may send ahead of what is applied, beside the message in hand
	maxReportedErrors   = 20        // resources that a refusal names
	maxErrorDetailBytes = 4 << 10   // bytes of it
	keepaliveTimeout    = 5 * time.Second
)

// conn is a connection to a control plane, and the stream on it.
type conn struct {
	client       *Client
	index        int // of the plane
	controlPlane bootstrap.ControlPlane
	ctx          context.Context
	cancelConn   context.CancelFunc

	// Under the client's lock:

	session      *ads.Session       // nil: there is no stream
	streamID     updateorder.Stream // of the stream; zero: it is not listened to
	up           bool
	responded    bool     // the stream has said something
	skipped      bool     // the stream has said something that was passed over
	restart      bool     // it is to be opened anew
	wanted       []string // of a file: when it was taken last
	cancelStream context.CancelFunc
	work         chan struct{} // holds a token when there may be something to send
}

// connect connects to a plane. The caller holds the lock.
func (c *Client) connect(i int) {
	k := &conn{client: c, index: i, controlPlane: c.options.ControlPlanes[i], work: make(chan struct{}, 1), cancelStream: func() {}}
	k.ctx, k.cancelConn = context.WithCancel(c.ctx)
	c.conns[i] = k
	o, turn := c.options, c.generation
	c.tasks.Go(func() {
		defer k.cancelConn()
		err := k.run(o)
		c.mu.Lock()
		defer c.mu.Unlock()
		k.endStream()
		if c.generation != turn || c.conns[i] != k || c.closed {
			return
		}
		c.log.Warn("xds: control plane lost", "plane", k.controlPlane.Name, "error", err)
		c.conns[i] = nil
		c.selector.MarkDown(time.Now(), i)
		c.advance()
	})
}

// endStream ends the stream for what is known of it. The caller holds the lock.
func (k *conn) endStream() {
	if k.streamID != 0 {
		k.client.cache.StreamEnded(k.streamID)
	}
	k.session, k.streamID = nil, 0
}

// activateSelected has the plane that is listened to heard, and no other one. The caller holds the lock.
func (c *Client) activateSelected() {
	at, ok := c.selector.Active()
	for i, k := range c.conns {
		switch {
		case k == nil:
		case k.streamID != 0 && (!ok || i != at):
			c.cache.StreamEnded(k.streamID)
			k.streamID, k.skipped = 0, true
		case k.streamID == 0 && ok && i == at && k.skipped: // what it has said so far was passed over: it is to say it again
			c.log.Info("xds: listening to another control plane", "plane", k.controlPlane.Name)
			k.skipped, k.restart = false, true
			k.cancelStream()
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
func (k *conn) run(o bootstrap.Options) error {
	if k.controlPlane.File != "" {
		return k.followFile(o)
	}
	creds, err := Credentials(k.controlPlane, k.client.log)
	if err != nil {
		return err
	}
	cc, err := grpc.NewClient("passthrough:///"+k.controlPlane.Address, grpc.WithTransportCredentials(creds),
		grpc.WithInitialWindowSize(receiveWindowBytes), grpc.WithInitialConnWindowSize(receiveWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(o.MaxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: o.KeepaliveTime, Timeout: keepaliveTimeout}),
		// The planes' order has its own backoff: a connection is tried once.
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: time.Hour, MaxDelay: time.Hour, Multiplier: 1}, MinConnectTimeout: o.Selection.ResponseTimeout}))
	if err != nil {
		return err
	}
	defer cc.Close()
	for {
		err := k.stream(o, discoveryv3.NewAggregatedDiscoveryServiceClient(cc))
		k.client.mu.Lock()
		again := k.restart && k.ctx.Err() == nil
		k.restart = false
		k.endStream()
		k.client.mu.Unlock()
		if !again {
			return err
		}
	}
}

// Credentials returns how a control plane is connected to.
func Credentials(p bootstrap.ControlPlane, log *slog.Logger) (credentials.TransportCredentials, error) {
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

// transport is a stream in one of the two variants.
type transport interface {
	send(r ads.Request, n *corev3.Node) error
	receive() (*response, error)
}

// response is a response.
type response struct {
	kind      ads.Kind
	version   string
	nonce     string
	complete  bool
	resources []resource
	removed   []string
}

type resource struct {
	name, version string // name: where the variant tells it beside the resource
	any           *anypb.Any
}

// stream runs one stream to its end.
func (k *conn) stream(o bootstrap.Options, client discoveryv3.AggregatedDiscoveryServiceClient) error {
	c := k.client
	ctx, cancel := context.WithCancel(k.ctx)
	defer cancel()
	var w transport
	if o.Variant == ads.Delta {
		s, err := client.DeltaAggregatedResources(ctx)
		if err != nil {
			return err
		}
		w = deltaStream{s}
	} else {
		s, err := client.StreamAggregatedResources(ctx)
		if err != nil {
			return err
		}
		w = stateOfTheWorldStream{s}
	}
	c.mu.Lock()
	if k.ctx.Err() != nil {
		c.mu.Unlock()
		return k.ctx.Err()
	}
	k.cancelStream = cancel
	k.session = ads.NewSession(o.Variant)
	for kind := range ads.KindCount {
		k.session.SetInitialVersions(kind, c.cache.Versions(kind))
	}
	k.skipped, k.streamID, k.responded = false, 0, false
	// Also where the plane is up already, and its stream was opened anew.
	mute := time.AfterFunc(o.Selection.ResponseTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !k.responded && ctx.Err() == nil {
			c.log.Warn("xds: a stream on which nothing has come", "plane", k.controlPlane.Name)
			cancel()
		}
	})
	defer mute.Stop()
	c.subscribe(k)
	c.mu.Unlock()
	k.wake()
	sent := make(chan error, 1)
	c.tasks.Go(func() { sent <- k.send(ctx, cancel, w, o.Node) })
	d := &envoy.Decoder{Warn: c.warn}
	for {
		r, err := w.receive()
		switch {
		case err != nil:
		case r.kind == ads.KindCount:
			c.warn("a response of a type that is not known here is passed over")
		default:
			err = k.handleResponse(r, d)
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
func (k *conn) send(ctx context.Context, cancel context.CancelFunc, w transport, n bootstrap.Node) error {
	node := &corev3.Node{Id: n.ID, Cluster: n.Cluster, UserAgentName: "silvertrail",
		Locality: &corev3.Locality{Region: n.Region, Zone: n.Zone, SubZone: n.SubZone}}
	for {
		k.client.mu.Lock()
		var r ads.Request
		ok := false
		if k.session != nil {
			r, ok = k.session.NextRequest()
		}
		k.client.mu.Unlock()
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

// decode checks the resources of a response. The faults are for its refusal.
func (r *response) decode(d *envoy.Decoder) (m cache.Response, faults []string) {
	m = cache.Response{Kind: r.kind, Version: r.version, Complete: r.complete && r.kind == ads.Clusters, Removed: r.removed}
	at := map[string]bool{}
	for n, raw := range r.resources {
		i, err := d.Decode(r.kind, raw.version, raw.any)
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
			m.Rejections = append(m.Rejections, cache.Rejection{Name: name, Version: raw.version, Reason: bad.Err.Error()})
		}
	}
	return m, faults
}

// handleResponse applies a response. An error ends the stream.
func (k *conn) handleResponse(r *response, d *envoy.Decoder) error {
	m, faults := r.decode(d)
	c := k.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.session == nil {
		return errors.New("the stream has ended")
	}
	err := k.session.Receive(r.kind, r.nonce)
	if err != nil && !errors.Is(err, ads.ErrNotSubscribed) {
		return err
	}
	fault := k.rejectionDetail(r.version, append(faults, k.apply(m)...))
	if err == nil { // what nobody has asked for yet is kept for a while, as that may follow; there is no subscription to answer it on
		k.session.Answer(r.kind, r.version, fault)
	}
	c.advance()
	k.wake()
	return nil
}

// apply takes what a plane says, where it is listened to. The caller holds the lock.
func (k *conn) apply(m cache.Response) (faults []string) {
	c, now := k.client, time.Now()
	k.responded = true
	if !k.up {
		k.up = true
		c.selector.MarkUp(now, k.index)
	}
	if at, ok := c.selector.Active(); ok && at == k.index && k.streamID == 0 && !k.skipped {
		c.streamCount++
		k.streamID = c.streamCount
		c.cache.StreamStarted(now, k.streamID, k.controlPlane.Name)
		c.log.Info("xds: control plane heard", "plane", k.controlPlane.Name)
	}
	if k.streamID == 0 {
		k.skipped = true
		return nil
	}
	for _, f := range c.cache.Apply(now, k.streamID, m) {
		faults = append(faults, fmt.Sprintf("%s %s: %s", m.Kind, f.Name, f.Reason))
	}
	c.selector.SetCached()
	c.stateWriter.wake()
	return faults
}

// rejectionDetail logs what a response is turned away for, and returns it for the plane; empty: for nothing.
func (k *conn) rejectionDetail(version string, faults []string) string {
	if len(faults) == 0 {
		return ""
	}
	fault := strings.Join(faults[:min(len(faults), maxReportedErrors)], "; ")
	if over := len(faults) - maxReportedErrors; over > 0 {
		fault += fmt.Sprintf("; and %d more", over)
	}
	fault = strings.ToValidUTF8(fault[:min(len(fault), maxErrorDetailBytes)], "?")
	k.client.log.Warn("xds: turned away", "plane", k.controlPlane.Name, "version", version, "fault", fault)
	return fault
}

func statusOf(fault string) *status.Status {
	if fault == "" {
		return nil
	}
	return &status.Status{Code: int32(codes.InvalidArgument), Message: fault}
}

// stateOfTheWorldStream is a stream of the state of the world.
type stateOfTheWorldStream struct {
	discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
}

func (s stateOfTheWorldStream) send(r ads.Request, n *corev3.Node) error {
	return s.Send(&discoveryv3.DiscoveryRequest{Node: n, TypeUrl: envoy.TypeOf(r.Kind), VersionInfo: r.Version, ResponseNonce: r.Nonce,
		ResourceNames: r.Names, ErrorDetail: statusOf(r.ErrorDetail)})
}

func (s stateOfTheWorldStream) receive() (*response, error) {
	m, err := s.Recv()
	if err != nil {
		return nil, err
	}
	r := &response{kind: envoy.KindOf(m.TypeUrl), version: m.VersionInfo, nonce: m.Nonce, complete: true}
	for _, a := range m.Resources {
		r.resources = append(r.resources, resource{version: m.VersionInfo, any: a})
	}
	return r, nil
}

// deltaStream is an incremental stream.
type deltaStream struct {
	discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
}

func (s deltaStream) send(r ads.Request, n *corev3.Node) error {
	return s.Send(&discoveryv3.DeltaDiscoveryRequest{Node: n, TypeUrl: envoy.TypeOf(r.Kind), ResponseNonce: r.Nonce, ErrorDetail: statusOf(r.ErrorDetail),
		ResourceNamesSubscribe: r.Subscribe, ResourceNamesUnsubscribe: r.Unsubscribe, InitialResourceVersions: r.InitialVersions})
}

func (s deltaStream) receive() (*response, error) {
	m, err := s.Recv()
	if err != nil {
		return nil, err
	}
	r := &response{kind: envoy.KindOf(m.TypeUrl), version: m.SystemVersionInfo, nonce: m.Nonce, removed: m.RemovedResources}
	for _, a := range m.Resources {
		r.resources = append(r.resources, resource{a.Name, a.Version, a.Resource})
	}
	return r, nil
}
