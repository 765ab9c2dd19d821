package engine

import (
	"errors"
	"time"
)

// ErrUnknownEndpoint means that an endpoint was never listed.
var ErrUnknownEndpoint = errors.New("engine: the endpoint was never listed")

// SetManuallyEjected ejects an endpoint on an operator's request, or restores it. When it returns no new attempt can begin
// there: neither retries, hedged requests and probes, nor attempts that were decided on and have not sent their first byte.
// ErrUnknownEndpoint means that the endpoint was never listed, as far as that is remembered.
func (e *Engine) SetManuallyEjected(name string, ejected bool) error {
	err := ErrUnknownEndpoint
	e.event(func(now time.Duration) {
		id, wasEjected := e.manuallyEjected[name]
		if !wasEjected {
			id = e.serverID(name)
			if e.endpoints[id] == nil && !e.everListed.has(name) {
				return
			}
		}
		err = nil
		if ejected {
			e.manuallyEjected[name] = id
		} else {
			delete(e.manuallyEjected, name)
		}
		if server := e.endpoints[id]; server != nil {
			server.manuallyEjected = ejected
			if ejected {
				server.pool.CloseIdle() // its process is about to end, which would break them under a request
			}
		}
		e.balancer.SetManuallyEjected(now, id, ejected)
	})
	return err
}

// SetEjectedUnlisted is SetManuallyEjected for an endpoint that another process knows, listed here or not.
func (e *Engine) SetEjectedUnlisted(name string, ejected bool) {
	e.mu.Lock()
	e.everListed.add(name)
	e.mu.Unlock()
	if err := e.SetManuallyEjected(name, ejected); err != nil {
		e.log.Error("manual ejection not applied", "endpoint", name, "error", err)
	}
}

// ManuallyEjected returns the names of the manually ejected endpoints.
func (e *Engine) ManuallyEjected() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := make([]string, 0, len(e.manuallyEjected))
	for name := range e.manuallyEjected {
		names = append(names, name)
	}
	return names
}
