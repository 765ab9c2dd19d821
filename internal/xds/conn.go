package xds

import (
	"context"
	"errors"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/internal/xds/envoy"
)

const (
	receiveWindowBytes = 256 << 10 // bytes that a control plane may send ahead of those that are applied, beside the message in progress
	keepaliveTimeout   = 5 * time.Second
)

// errStreamEnded is the error for a response that arrives after endStream has ended its session.
var errStreamEnded = errors.New("response received after its stream had ended")

// conn is a connection to a control plane, or a control plane that is a file.
type conn struct {
	client       *Client
	index        int // of the control plane in the options
	controlPlane bootstrap.ControlPlane
	ctx          context.Context
	cancelConn   context.CancelFunc
	wakeups      chan struct{} // holds a token while there may be something to send

	// The fields below are guarded by the client's lock.

	session      *ads.Session       // nil: there is no stream
	streamID     updateorder.Stream // ID of the active stream; zero: the stream is not active
	up           bool               // the control plane has responded on this connection
	responded    bool               // a response has been received on the stream
	skipped      bool               // responses were or may be left unapplied, because the stream is not active
	restart      bool               // the stream has to be reopened, or the file applied again
	withheld     [ads.KindCount]withheldResources
	wanted       []string // for a file: its latest subscriptions; a change of them applies the file again
	cancelStream context.CancelFunc
}

// connect connects to a control plane. The caller holds the lock.
func (c *Client) connect(i int) {
	k := &conn{
		client:       c,
		index:        i,
		controlPlane: c.options.ControlPlanes[i],
		wakeups:      make(chan struct{}, 1),
		cancelStream: func() {},
	}
	k.ctx, k.cancelConn = context.WithCancel(c.ctx)
	c.conns[i] = k
	o, generation := c.options, c.generation
	c.tasks.Go(func() {
		defer k.cancelConn()
		err := k.run(o)
		c.mu.Lock()
		defer c.mu.Unlock()
		k.endStream()
		if c.generation != generation || c.conns[i] != k || c.closed {
			return
		}
		c.log.Warn("control plane down", "control_plane", k.controlPlane.Name, "error", err)
		c.conns[i] = nil
		c.selector.MarkDown(time.Now(), i)
		c.advance()
	})
}

// disconnect ends the connection to a control plane that is not needed or has not responded in time. The caller holds the lock.
func (c *Client) disconnect(i int) {
	k := c.conns[i]
	if k == nil {
		return
	}
	k.endStream()
	k.cancelConn()
	c.conns[i] = nil
	c.log.Info("control plane disconnected", "control_plane", k.controlPlane.Name, "responded", k.up)
}

// endStream ends the session, and tells the cache that the stream has ended if it was active. The caller holds the lock.
func (k *conn) endStream() {
	if k.streamID != 0 {
		k.client.cache.StreamEnded(k.streamID)
	}
	k.session = nil
	k.streamID = 0
}

// activateSelected deactivates the streams of control planes that are not selected. It reopens the stream of the selected one where
// responses were skipped. The caller holds the lock.
func (c *Client) activateSelected() {
	active, ok := c.selector.Active()
	for i, k := range c.conns {
		if k == nil {
			continue
		}
		isActive := ok && i == active
		switch {
		case k.streamID != 0 && !isActive:
			c.cache.StreamEnded(k.streamID)
			k.streamID = 0
			k.skipped = true
			k.withheld = [ads.KindCount]withheldResources{}
		case k.streamID == 0 && isActive && k.skipped: // skipped responses have to be sent again
			c.log.Info("control plane selected", "control_plane", k.controlPlane.Name)
			k.skipped = false
			k.restart = true
			k.cancelStream()
		}
	}
}

// wake makes the sender, or the reader of a file, check for work.
func (k *conn) wake() {
	select {
	case k.wakeups <- struct{}{}:
	default:
	}
}

// run maintains the connection until it fails or is cancelled.
func (k *conn) run(o bootstrap.Options) error {
	if k.controlPlane.File != "" {
		return k.followFile(o)
	}
	credentials, err := Credentials(k.controlPlane, k.client.log)
	if err != nil {
		return err
	}
	cc, err := grpc.NewClient("passthrough:///"+k.controlPlane.Address, grpc.WithTransportCredentials(credentials),
		grpc.WithInitialWindowSize(receiveWindowBytes), grpc.WithInitialConnWindowSize(receiveWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(o.MaxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: o.KeepaliveTime, Timeout: keepaliveTimeout}),
		// gRPC attempts a connection once: its backoff of one hour leaves retries to the selector, which has its own backoff.
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: time.Hour, MaxDelay: time.Hour, Multiplier: 1},
			MinConnectTimeout: o.Selection.ResponseTimeout,
		}))
	if err != nil {
		return err
	}
	defer cc.Close()
	for {
		err := k.runStream(o, discoveryv3.NewAggregatedDiscoveryServiceClient(cc))
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

// runStream runs one stream to its end.
func (k *conn) runStream(o bootstrap.Options, client discoveryv3.AggregatedDiscoveryServiceClient) error {
	ctx, cancel := context.WithCancel(k.ctx)
	defer cancel()
	t, err := openTransport(ctx, client, o.Variant)
	if err != nil {
		return err
	}
	if err := k.beginSession(cancel, o); err != nil {
		return err
	}
	timeout := k.startResponseTimeout(ctx, cancel, o)
	defer timeout.Stop()
	k.wake()
	sent := make(chan error, 1)
	k.client.tasks.Go(func() { sent <- k.send(ctx, cancel, t, o.Node) })
	err = k.receive(t)
	cancel()
	if failed := <-sent; failed != nil && !errors.Is(failed, context.Canceled) {
		return failed
	}
	return err
}

// beginSession creates the session of a newly opened stream.
func (k *conn) beginSession(cancel context.CancelFunc, o bootstrap.Options) error {
	c := k.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := k.ctx.Err(); err != nil {
		return err
	}
	k.cancelStream = cancel
	k.session = ads.NewSession(o.Variant)
	for kind := range ads.KindCount {
		k.session.SetInitialVersions(kind, c.cache.Versions(kind))
	}
	k.skipped = false
	k.streamID = 0
	k.responded = false
	k.withheld = [ads.KindCount]withheldResources{}
	c.subscribe(k)
	return nil
}

// startResponseTimeout cancels a stream on which no response arrives within the response timeout. The selector's own timeout does not
// cover a stream that is reopened while its control plane is up.
func (k *conn) startResponseTimeout(ctx context.Context, cancel context.CancelFunc, o bootstrap.Options) *time.Timer {
	return time.AfterFunc(o.Selection.ResponseTimeout, func() {
		k.client.mu.Lock()
		defer k.client.mu.Unlock()
		if !k.responded && ctx.Err() == nil {
			k.client.log.Warn("no response on stream within the response timeout", "control_plane", k.controlPlane.Name)
			cancel()
		}
	})
}

// receive handles responses until the stream ends.
func (k *conn) receive(t transport) error {
	d := &envoy.Decoder{Warn: k.client.warn}
	for {
		r, err := t.receive()
		if err != nil {
			return err
		}
		if r.kind == ads.KindCount {
			k.client.warn("response of unknown type ignored")
			continue
		}
		if err := k.handleResponse(r, d); err != nil {
			return err
		}
	}
}

// send sends the session's requests until the stream ends. Only the first request carries the node.
func (k *conn) send(ctx context.Context, cancel context.CancelFunc, t transport, n bootstrap.Node) error {
	node := &corev3.Node{Id: n.ID, Cluster: n.Cluster, UserAgentName: "silvertrail",
		Locality: &corev3.Locality{Region: n.Region, Zone: n.Zone, SubZone: n.SubZone}}
	for {
		request, ok := k.nextRequest()
		if !ok {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-k.wakeups:
			}
			continue
		}
		if err := t.send(request, node); err != nil {
			cancel()
			return err
		}
		node = nil
	}
}

// nextRequest returns the session's next request, and false if there is none to send.
func (k *conn) nextRequest() (ads.Request, bool) {
	k.client.mu.Lock()
	defer k.client.mu.Unlock()
	if k.session == nil {
		return ads.Request{}, false
	}
	return k.session.NextRequest()
}
