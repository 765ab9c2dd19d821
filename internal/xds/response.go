package xds

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/cache"
	"silvertrail/internal/xds/envoy"
)

// Limits on the error detail of a NACK.
const (
	maxReportedErrors   = 20
	maxErrorDetailBytes = 4 << 10
)

// decode decodes the resources of a response. The error texts go into the error detail of a NACK.
func (r *response) decode(d *envoy.Decoder) (out cache.Response, errorTexts []string) {
	out = cache.Response{Kind: r.kind, Version: r.version, Complete: r.complete && r.kind == ads.Clusters, Removed: r.removed}
	decoded := map[string]bool{}
	for n, raw := range r.resources {
		decodedResource, err := raw.decode(d, r.kind, decoded)
		if err == nil {
			decoded[decodedResource.Name] = true
			out.Resources = append(out.Resources, decodedResource)
			continue
		}
		var invalid *envoy.Error
		errors.As(err, &invalid)
		name := cmp.Or(invalid.Name, raw.name)
		errorTexts = append(errorTexts, fmt.Sprintf("%s %s: %v", r.kind, cmp.Or(name, fmt.Sprintf("number %d", n)), invalid.Err))
		if name == "" {
			out.Complete = false // the unnamed resource may be any that is absent from the response, so none counts as removed
		} else if !decoded[name] {
			out.Rejections = append(out.Rejections, cache.Rejection{Name: name, Version: raw.version, Reason: invalid.Err.Error()})
		}
	}
	return out, errorTexts
}

// decode decodes a resource. decoded holds the names already found in the response. The error is an *envoy.Error.
func (raw resource) decode(d *envoy.Decoder, k ads.Kind, decoded map[string]bool) (cache.Resource, error) {
	out, err := d.Decode(k, raw.version, raw.any)
	switch {
	case err != nil:
		return out, err
	case raw.name != "" && out.Name != raw.name:
		return out, &envoy.Error{Name: raw.name, Err: fmt.Errorf("the resource calls itself %q", out.Name)}
	case decoded[out.Name]:
		return out, &envoy.Error{Name: out.Name, Err: errors.New("told twice")}
	}
	return out, nil
}

// handleResponse applies a response and queues its ACK or NACK. An error ends the stream.
func (k *conn) handleResponse(r *response, d *envoy.Decoder) error {
	decoded, errorTexts := r.decode(d)
	c := k.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.session == nil {
		return errStreamEnded
	}
	err := k.session.Receive(r.kind, r.nonce)
	if err != nil && !errors.Is(err, ads.ErrNotSubscribed) {
		return err
	}
	applied := k.apply(decoded)
	rejected := slices.Concat(errorTexts, applied.rejected)
	k.withheld[r.kind].isRejected = len(rejected) > 0
	errorDetail := k.rejectionDetail(r.version, rejected, applied.withheld)
	// A response without a subscription is not acknowledged, but is cached as its subscription may follow. What an inactive stream sends is
	// not in force, and is sent again once its control plane is selected: it is not answered.
	if err == nil && k.streamID != 0 {
		k.session.Answer(r.kind, r.version, errorDetail)
	}
	c.advance()
	k.wake()
	return nil
}

// applyResult holds the error details of the resources of a response that are not in force.
type applyResult struct {
	rejected []string
	withheld []string
}

// apply applies a response if the stream is active. The caller holds the lock.
func (k *conn) apply(decoded cache.Response) (result applyResult) {
	c := k.client
	now := time.Now()
	k.responded = true
	if !k.up {
		k.up = true
		c.selector.MarkUp(now, k.index)
	}
	if active, ok := c.selector.Active(); ok && active == k.index && k.streamID == 0 && !k.skipped {
		c.streamCount++
		k.streamID = c.streamCount
		c.cache.StreamStarted(now, k.streamID, k.controlPlane.Name)
		c.log.Info("control plane up", "control_plane", k.controlPlane.Name)
	}
	if k.streamID == 0 {
		k.skipped = true
		return result
	}
	for _, r := range c.cache.Apply(now, k.streamID, decoded) {
		result.rejected = append(result.rejected, fmt.Sprintf("%s %s: %s", decoded.Kind, r.Name, r.Reason))
	}
	result.withheld = k.withheld[decoded.Kind].update(decoded, c.cache.Withheld(decoded))
	c.selector.SetCached()
	c.stateWriter.wake()
	return result
}

// rejectionDetail logs and returns the error detail of a response, with the details of the resources that were rejected and of those that
// are withheld. It is empty if all resources are in force.
func (k *conn) rejectionDetail(version string, rejected, withheld []string) string {
	errorTexts := slices.Concat(rejected, withheld)
	if len(errorTexts) == 0 {
		return ""
	}
	detail := strings.Join(errorTexts[:min(len(errorTexts), maxReportedErrors)], "; ")
	if more := len(errorTexts) - maxReportedErrors; more > 0 {
		detail += fmt.Sprintf("; and %d more", more)
	}
	detail = strings.ToValidUTF8(detail[:min(len(detail), maxErrorDetailBytes)], "?")
	message := "response rejected"
	if len(rejected) == 0 {
		message = "response withheld"
	}
	k.client.log.Warn(message, "control_plane", k.controlPlane.Name, "version", version, "detail", detail)
	return detail
}
