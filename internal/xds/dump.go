package xds

import "silvertrail/internal/xds/cache"

// Dump tells all.
func (c *Client) Dump() (d cache.Dump) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, p := range c.options.ControlPlanes {
		v := cache.ControlPlaneStatus{Name: p.Name, State: "down"}
		if k := c.conns[i]; k != nil {
			v.State, v.Active = "connecting", k.streamID != 0
			if k.up {
				v.State = "up"
			}
		}
		d.ControlPlanes = append(d.ControlPlanes, v)
	}
	d.Resources = c.cache.Status()
	for path, f := range c.files {
		d.Files = append(d.Files, cache.FileStatus{Path: path, Sets: len(f.sets), ReadAt: f.readAt, Error: f.lastError})
	}
	return d
}
