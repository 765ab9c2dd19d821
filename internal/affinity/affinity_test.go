package affinity

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

func begin(t *testing.T, table *Table, now time.Time, key, cluster string) *Hold {
	t.Helper()
	h, err := table.Begin(now, "reserva", "acme", key, cluster)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func TestStays(t *testing.T) {
	table := New(8)
	begin(t, table, t0, "k", "a").End(true, t0.Add(10*time.Second))
	if c := begin(t, table, t0.Add(9*time.Second), "k", "b").Cluster(); c != "a" {
		t.Errorf("a repeat goes to %s", c)
	}
	other, err := table.Begin(t0, "reserva", "other", "k", "b")
	if err != nil || other.Cluster() != "b" {
		t.Errorf("another tenant's key: %v", err)
	}
}

func TestForgets(t *testing.T) {
	table := New(8)
	begin(t, table, t0, "k", "a").End(true, t0.Add(10*time.Second))
	if c := begin(t, table, t0.Add(10*time.Second), "k", "b").Cluster(); c != "b" {
		t.Errorf("when its window is over the key still goes to %s", c)
	}
	never := begin(t, table, t0, "n", "a")
	never.End(false, time.Time{})
	if c := begin(t, table, t0, "n", "b").Cluster(); c != "b" {
		t.Errorf("what never ran is held at %s", c)
	}
}

func TestMove(t *testing.T) {
	table := New(8)
	one := begin(t, table, t0, "k", "a")
	if !one.Move("b") || one.Cluster() != "b" {
		t.Error("what never ran may move")
	}
	two := begin(t, table, t0, "k", "a")
	if two.Cluster() != "b" || two.Move("c") || one.Move("c") {
		t.Error("moved while another request holds the key")
	}
	two.End(true, t0.Add(time.Second))
	if one.Move("c") {
		t.Error("moved though another request with the key may have run")
	}
	one.End(false, time.Time{})
	if c := begin(t, table, t0, "k", "a").Cluster(); c != "b" {
		t.Errorf("goes to %s", c)
	}
}

func TestBound(t *testing.T) {
	table := New(4)
	for i := range 4 {
		begin(t, table, t0, fmt.Sprint(i), "a").End(true, t0.Add(time.Duration(i+1)*time.Second))
	}
	if _, err := table.Begin(t0, "reserva", "acme", "new", "a"); !errors.Is(err, ErrFull) {
		t.Errorf("over the bound: %v", err)
	}
	begin(t, table, t0.Add(2*time.Second), "new", "a")
	if n := table.Len(); n != 3 {
		t.Errorf("%d keys after the sweep", n)
	}
}

// Against a plain model: while a key may have run within its window, all its requests go where it ran.
func TestModel(t *testing.T) {
	d := rand.New(rand.NewPCG(1, 9))
	table := New(1000)
	type open struct {
		*Hold
		key string
	}
	var work []open
	ranAt, until := map[string]string{}, map[string]time.Time{}
	now := t0
	for range 20000 {
		now = now.Add(time.Duration(d.IntN(200)) * time.Millisecond)
		if len(work) > 0 && d.IntN(2) == 0 {
			i := d.IntN(len(work))
			w := work[i]
			at := w.Cluster()
			switch d.IntN(3) {
			case 0:
				if w.Move("moved") {
					if ranAt[w.key] != "" && now.Before(until[w.key]) {
						t.Fatalf("%s moved from %s", w.key, ranAt[w.key])
					}
				}
				continue
			case 1:
				if was := ranAt[w.key]; was != "" && was != at && now.Before(until[w.key]) {
					t.Fatalf("%s ran at %s and at %s", w.key, was, at)
				}
				end := now.Add(5 * time.Second)
				ranAt[w.key], until[w.key] = at, end
				w.End(true, end)
			default:
				w.End(false, time.Time{})
			}
			work = append(work[:i], work[i+1:]...)
			continue
		}
		key := fmt.Sprint(d.IntN(20))
		h := begin(t, table, now, key, fmt.Sprint(d.IntN(3)))
		if was := ranAt[key]; was != "" && now.Before(until[key]) && h.Cluster() != was {
			t.Fatalf("%s ran at %s and goes to %s", key, was, h.Cluster())
		}
		work = append(work, open{h, key})
	}
	if len(ranAt) < 20 {
		t.Errorf("the draw tests little: %d keys", len(ranAt))
	}
}
