package xds

import "silvertrail/internal/xds/known"

// Dump tells all.
func (c *Client) Dump() (d known.Dump) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, p := range c.o.ControlPlanes {
		v := known.ControlPlaneStatus{Name: p.Name, State: "down"}
		if k := c.conns[i]; k != nil {
			v.State, v.Active = "connecting", k.id != 0
			if k.up {
				v.State = "up"
			}
		}
		d.ControlPlanes = append(d.ControlPlanes, v)
	}
	d.Resources = c.store.Status()
	for path, f := range c.files {
		d.Files = append(d.Files, known.FileStatus{Path: path, Sets: len(f.sets), ReadAt: f.heard, Error: f.fault})
	}
	return d
}
