package engine

import (
	"errors"
	"time"
)

// ErrUnknownEndpoint means that an endpoint was never listed, as far as listed names are remembered.
var ErrUnknownEndpoint = errors.New("engine: the endpoint was never listed")

// SetManuallyEjected ejects an endpoint on an operator's request, or restores it. Once it has returned after an ejection, no new
// attempt begins at the endpoint. This holds for retries, hedged requests and probes, and for attempts that were decided on before
// but have not sent their first byte. For an endpoint that was never listed it returns ErrUnknownEndpoint.
func (e *Engine) SetManuallyEjected(name string, ejected bool) error {
	err := ErrUnknownEndpoint
	e.processEvent(func(now time.Duration) {
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
				server.pool.CloseIdle() // the server process is about to end, which would reset these connections under a new request
			}
		}
		e.balancer.SetManuallyEjected(now, id, ejected)
	})
	return err
}

// SetEjectedUnlisted is SetManuallyEjected for an endpoint that another process has listed. It need not have been listed in this
// process.
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
