package controlplane

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"time"

	"silvertrail/internal/base/statefile"
	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/controlplane/records"
)

// restoreStore returns the store that is saved in the state file, or an empty one if there is no file. An unreadable file is an
// error: it may hold records that no other server has.
func restoreStore(o api.Options) (*records.Store, error) {
	if o.StateFile == "" {
		return records.New(newOrigin(o.Name)), nil
	}
	var state records.State
	err := statefile.Read(o.StateFile, stateFormat, maxStateBytes, &state)
	for i := 0; err == nil && i < len(state.Records); i++ {
		err = state.Records[i].Record.Check()
	}
	switch {
	case errors.Is(err, os.ErrNotExist):
		return records.New(newOrigin(o.Name)), nil
	case err != nil:
		return nil, fmt.Errorf("control plane: state file %s: %w (the file is left unchanged; without it, the server fetches all records from its peers)", o.StateFile, err)
	}
	return records.Restore(state), nil
}

// newOrigin returns the origin of a server that starts without a state. It has a random part, so that versions which the server
// assigned before it lost its state are never confused with those that it assigns now.
func newOrigin(name string) string {
	var nonce [originNonceBytes]byte
	rand.Read(nonce[:])
	return name + "." + hex.EncodeToString(nonce[:])
}

// persistLoop writes the state file after changes, with a pause of saveInterval after each write. It writes unsaved changes when
// the server closes.
func (s *Server) persistLoop() {
	for {
		select {
		case <-s.ctx.Done():
			select {
			case <-s.dirty:
				s.persist()
			default:
			}
			return
		case <-s.dirty:
		}
		s.persist()
		select {
		case <-s.ctx.Done():
		case <-time.After(saveInterval):
		}
	}
}

func (s *Server) persist() {
	noPublication := func() (records.Publication, error) { return records.Publication{}, nil }
	if err := s.writeState(noPublication); err != nil {
		s.log.Error("state file not written", "error", err)
	}
}

// writeState writes the state that results from a publication. It calls prepare with the lock held; if prepare fails, nothing is
// written.
func (s *Server) writeState(prepare func() (records.Publication, error)) error {
	s.stateFileMu.Lock()
	defer s.stateFileMu.Unlock()
	s.mu.Lock()
	p, err := prepare()
	if err != nil || s.options.StateFile == "" {
		s.mu.Unlock()
		return err
	}
	state := s.store.Save(p)
	s.mu.Unlock()
	if err := statefile.Write(s.options.StateFile, stateFormat, state); err != nil {
		return fmt.Errorf("state %s: %w", s.options.StateFile, err)
	}
	return nil
}

// markDirty requests a write of the state file.
func (s *Server) markDirty() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}
