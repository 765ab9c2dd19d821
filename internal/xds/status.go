package xds

import "silvertrail/internal/xds/cache"

// Dump returns the state of the control planes, resources and endpoints files.
func (c *Client) Dump() (d cache.Dump) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, p := range c.options.ControlPlanes {
		d.ControlPlanes = append(d.ControlPlanes, c.conns[i].status(p.Name))
	}
	d.Resources = c.cache.Status()
	for path, f := range c.files {
		d.Files = append(d.Files, cache.FileStatus{Path: path, Sets: len(f.sets), ReadAt: f.readAt, Error: f.lastError})
	}
	return d
}

// status returns the status of a connection. k may be nil: the control plane is down.
func (k *conn) status(name string) cache.ControlPlaneStatus {
	switch {
	case k == nil:
		return cache.ControlPlaneStatus{Name: name, State: "down"}
	case k.up:
		return cache.ControlPlaneStatus{Name: name, State: "up", Active: k.streamID != 0}
	}
	return cache.ControlPlaneStatus{Name: name, State: "connecting", Active: k.streamID != 0}
}
