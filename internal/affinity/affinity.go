// Package affinity remembers at which cluster a keyed request is or may have run, so that no repeat of it goes to
// another, whatever routes say: the endpoints that drop repeats of a key are those of one cluster. It does no I/O and
// has no clock.
//
// A client's repeat after a failure, a change of weights or routes by a reload, and a failover can each lead to another
// cluster; the table stands against all three. It knows what this process has sent: other processes share nothing with
// it, and a restart forgets.
package affinity

import (
	"errors"
	"hash/maphash"
	"sync"
	"time"
)

// ErrFull says that no more keys can be remembered now. Nothing was sent; the request can be refused.
var ErrFull = errors.New("affinity: too many keys")

// Table is safe for concurrent use.
type Table struct {
	seed maphash.Seed
	max  int

	mu    sync.Mutex
	keys  map[uint64]*entry
	swept time.Time
}

type entry struct {
	cluster string
	open    int       // requests in work
	ran     bool      // one may have run
	until   time.Time // endpoints remember it no longer
}

// sweepEvery bounds how often a full table is looked through.
const sweepEvery = time.Second

// New returns a table of at most max keys, of about 100 bytes each.
func New(max int) *Table {
	return &Table{seed: maphash.MakeSeed(), max: max, keys: map[uint64]*entry{}}
}

// Hold is one request's hold on its key. It must be ended.
type Hold struct {
	table *Table
	sum   uint64
	entry *entry
}

// Begin takes hold of a key for a request that would go to the given cluster. Cluster tells where it must go.
//
// Keys are held as hashes of 64 bits. Should two meet, the later request goes to the cluster of the earlier one.
func (t *Table) Begin(now time.Time, class, tenant, key, cluster string) (*Hold, error) {
	var h maphash.Hash
	h.SetSeed(t.seed)
	for _, part := range []string{class, tenant, key} {
		h.WriteString(part)
		h.WriteByte(0)
	}
	sum := h.Sum64()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.keys[sum]
	if e != nil && e.over(now) {
		delete(t.keys, sum)
		e = nil
	}
	if e == nil {
		if len(t.keys) >= t.max {
			t.sweep(now)
		}
		if len(t.keys) >= t.max {
			return nil, ErrFull
		}
		e = &entry{cluster: cluster}
		t.keys[sum] = e
	}
	e.open++
	return &Hold{t, sum, e}, nil
}

func (e *entry) over(now time.Time) bool { return e.open == 0 && !now.Before(e.until) }

func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepEvery && now.After(t.swept) {
		return
	}
	t.swept = now
	for sum, e := range t.keys {
		if e.over(now) {
			delete(t.keys, sum)
		}
	}
}

// Cluster returns where the request must go.
func (h *Hold) Cluster() string {
	h.table.mu.Lock()
	defer h.table.mu.Unlock()
	return h.entry.cluster
}

// Move takes the key to another cluster, for a request that is known never to have run. It is refused where another
// request with the key is in work or may have run.
func (h *Hold) Move(to string) bool {
	h.table.mu.Lock()
	defer h.table.mu.Unlock()
	if h.entry.ran || h.entry.open > 1 {
		return false
	}
	h.entry.cluster = to
	return true
}

// End ends the hold. Of a request that was served, or may have run, the key is remembered until the given time.
func (h *Hold) End(mayHaveRun bool, until time.Time) {
	t := h.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := h.entry
	e.open--
	if mayHaveRun {
		e.ran = true
		if until.After(e.until) {
			e.until = until
		}
	}
	if e.open == 0 && !e.ran && t.keys[h.sum] == e {
		delete(t.keys, h.sum)
	}
}

// Len returns the number of keys remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.keys)
}
