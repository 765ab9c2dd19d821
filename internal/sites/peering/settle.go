package peering

import (
	"context"
	"fmt"

	"silvertrail/internal/sites/accounting"
)

// settleAll asks the remote gateway over this session for the outcomes of all requests without a response. It covers the
// requests of this session and of ended sessions to the same gateway.
func (s *session) settleAll() error {
	s.gateway.mu.Lock()
	sessions := append([]*session{}, s.gateway.endedSessions...)
	s.gateway.mu.Unlock()
	for _, other := range append(sessions, s) {
		for {
			more, err := s.settleSession(other)
			if err != nil {
				return err
			}
			if !more {
				break
			}
		}
	}
	return nil
}

// settleSession asks for the outcomes of up to maxSettleNumbers requests of one session. It returns true if more requests may
// be waiting and this call made progress.
func (s *session) settleSession(other *session) (more bool, err error) {
	other.mu.Lock()
	numbers := other.sender.Unsettled(maxSettleNumbers)
	ended := other.ended
	other.mu.Unlock()
	if len(numbers) == 0 {
		return false, nil
	}
	var response settleResponse
	if other.remoteProcess == s.remoteProcess {
		ctx, cancel := context.WithTimeout(s.gateway.ctx, s.gateway.transport.options.HeartbeatTimeout)
		defer cancel()
		request := &settleRequest{SessionID: other.id, SessionEnded: ended, Numbers: numbers}
		if err := s.request(ctx, pathSettle, request, &response); err != nil {
			return false, fmt.Errorf("settling: %w", err)
		}
	}
	progress := other.resolve(numbers, response)
	return progress && len(numbers) == maxSettleNumbers, nil
}

// resolve records the outcomes of the requests with the given numbers, and reports whether any of them is final. If the
// response does not know the session, the process that received the requests has ended. Their outcomes cannot be determined
// any more, and they may have run.
func (s *session) resolve(numbers []uint64, response settleResponse) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := false
	for i, number := range numbers {
		outcome := accounting.MayHaveRun
		if response.Known && i < len(response.Outcomes) {
			outcome = response.Outcomes[i]
		}
		if outcome == accounting.Pending {
			continue
		}
		progress = true
		s.sender.Resolve(number, outcome)
		if waiter := s.waiters[number]; waiter != nil {
			waiter <- outcome
			delete(s.waiters, number)
		}
	}
	return progress
}
