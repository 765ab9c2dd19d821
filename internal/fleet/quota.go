package fleet

import "time"

// Quota is this instance's part of the limits that the fleet shares.
type Quota struct {
	Instances int // number of instances that share the limits
	Index     int // position of this instance among them, from 0
}

// Quota returns this instance's part of the limits.
func (f *Fleet) Quota() Quota {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quota
}

// updateQuota sets the quota from the members that memberlist reports, for a fleet without views. It schedules the next update
// for the time at which the quota may change without an event. The caller holds the lock.
func (f *Fleet) updateQuota(now time.Time) {
	instances, index, next := f.tracker.Partition(now)
	if f.quotaTimer != nil {
		f.quotaTimer.Stop()
		f.quotaTimer = nil
	}
	if !next.IsZero() {
		f.quotaTimer = time.AfterFunc(time.Until(next), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.updateQuota(time.Now())
		})
	}
	f.setQuota(Quota{Instances: instances, Index: index})
}

// setQuota sets the quota. It logs a change and calls OnQuotaChange. The caller holds the lock.
func (f *Fleet) setQuota(quota Quota) {
	if quota == f.quota {
		return
	}
	f.quota = quota
	f.log.Info("quota changed", "instances", quota.Instances, "place", quota.Index)
	if f.options.OnQuotaChange != nil {
		f.options.OnQuotaChange(quota)
	}
}
