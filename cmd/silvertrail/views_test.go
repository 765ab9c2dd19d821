package main

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"silvertrail/internal/fleet"
	"silvertrail/internal/fleet/membership"
	"silvertrail/internal/testkit/lbtest"
)

// The troubles one after the other, each until all know of it and then until it is borne. No key takes effect twice, no
// two processes ever held different views of one number, no healthy process was ever taken out, and none that was took its
// part for long: each trouble makes as many views as it must.
func TestViewsUnderTrouble(t *testing.T) {
	t.Parallel()
	f := newViewFleet(t, "")
	f.withFault("killed", []int{4}, func() {
		killed := time.Now()
		f.kill(4)
		f.one(all(4))
		for _, i := range all(4) {
			lbtest.Until(t, "its part is taken over", func() bool {
				v, err := f.all[i].members()
				return err == nil && v.Instances == fleetOf-1
			})
		}
		t.Logf("taken over %v after the kill; until then at the others: %s", time.Since(killed).Round(100*time.Millisecond),
			f.diagnosed(killed, time.Now(), []int{4}))
		f.restart(4)
	})
	f.withFault("paused", []int{3}, func() {
		f.pause(3, true)
		f.one(all(3))
		f.pause(3, false)
	})
	f.withFault("mute", []int{4}, func() {
		f.relays.Sever([]int{4}, all(), true)
		f.until("knows that it is mute", []int{4}, isolated)
		f.measures(4, "silvertrail_fleet_isolated 1")
		f.one(all(4))
		f.measures(0, `silvertrail_fleet_member_state{member="i4",state="dead"} 1`, "silvertrail_fleet_view_members 4", "silvertrail_fleet_confirmed 1")
	})
	f.withFault("deaf", []int{2}, func() {
		f.relays.Sever(all(), []int{2}, true)
		f.until("knows that it is deaf", []int{2}, isolated)
		f.one(all(2))
	})
	f.withFault("pair", nil, func() {
		f.relays.Sever([]int{1}, []int{3}, true)
		f.relays.Sever([]int{3}, []int{1}, true)
		f.until("knows of the pair", all(), func(v fleet.ReachabilityView) bool {
			return len(v.Diagnoses) == 1 && v.Diagnoses[0].Kind == "pair" && slices.Equal(v.Diagnoses[0].Members, []string{"i1", "i3"})
		})
	})
	f.withFault("ring", nil, func() {
		for a := range fleetOf {
			f.relays.Sever([]int{a}, all((a+1)%fleetOf), true)
		}
		f.until("knows that it is alone", all(), isolated)
	})
	for _, small := range [][]int{{3, 4}, {0, 1}} {
		f.withFault(fmt.Sprint("cut off ", small), small, func() {
			f.relays.Sever(small, all(small...), true)
			f.relays.Sever(all(small...), small, true)
			f.until("knows that it is the smaller part", small, func(v fleet.ReachabilityView) bool { return v.Isolated && len(v.Members) == fleetOf })
			f.one(all(small...))
			if status := request(f.all[small[0]].addr, "GET", "", 5*time.Second); status != 200 {
				t.Errorf("a safe request in the smaller part: %d", status)
			}
		})
	}
	f.end()
}

// Packets are lost, doubled and out of order: nobody is out for it.
func TestViewsUnderLoss(t *testing.T) {
	t.Parallel()
	f := newViewFleet(t, "")
	for _, loss := range []float64{0.1, 0.3, 0.6} {
		f.withFault(fmt.Sprintf("loss of %.0f %%", 100*loss), nil, func() {
			f.relays.SetFaults(loss, 0.1, 30*time.Millisecond)
			time.Sleep(lasting(time.Minute, 4*time.Second))
		})
	}
	f.end()
}

// Pauses: up to a second nobody is out; a longer one ends in a view without the paused process, which is back when it
// wakes; one in the middle of a change of views does not hold that up. One that gets a twentieth of a core takes nobody out.
func TestViewsUnderPauses(t *testing.T) {
	t.Parallel()
	f := newViewFleet(t, "")
	var borne []int // on a machine that is busy beside it a second may be too long: that nobody is out then is held in virtual time
	if !*long {
		borne = []int{2}
	}
	f.withFault("paused for a second", borne, func() {
		f.pause(2, true)
		time.Sleep(time.Second)
		f.pause(2, false)
		time.Sleep(3 * time.Second) // what it did not hear meanwhile is no reason for anything
	})
	f.withFault("paused for long", []int{3}, func() {
		f.pause(3, true)
		f.one(all(3))
		time.Sleep(lasting(57*time.Second, 4*time.Second))
		f.pause(3, false)
	})
	f.withFault("paused while the view changes", []int{1, 4}, func() {
		f.kill(4)
		f.until("suspects the one that was killed", all(1, 4), func(v fleet.ReachabilityView) bool {
			return slices.ContainsFunc(v.Diagnoses, func(x membership.Diagnosis) bool { return slices.Contains(x.Members, "i4") })
		})
		f.pause(1, true)
		f.until("goes on", all(1, 4), func(v fleet.ReachabilityView) bool { return v.HasQuorum && !slices.Contains(v.Members, "i4") })
		f.pause(1, false)
		f.restart(4)
	})
	f.withFault("a twentieth of a core", []int{2}, func() {
		f.throttle(2, 0.05, lasting(time.Minute, 5*time.Second))
	})
	f.end()
}

// A way that comes and goes each second; a zone that is lost in one step, which makes one view.
func TestViewsUnderChange(t *testing.T) {
	t.Parallel()
	f := newViewFleet(t, "")
	f.withFault("flapping", []int{4}, func() {
		for i := range int(lasting(time.Minute, 8*time.Second) / time.Second) {
			f.relays.Sever([]int{4}, all(), i%2 == 0)
			f.relays.Sever(all(), []int{4}, i%2 == 0)
			time.Sleep(time.Second)
		}
	})
	f.withFault("a zone lost", []int{3, 4}, func() {
		f.kill(3)
		f.kill(4)
		if at := f.one(all(3, 4)); at != f.before+1 {
			t.Errorf("two that are lost at once make %d views", at-f.before)
		}
		f.restart(3)
		f.restart(4)
	})
	f.end()
}

// All voters are in the smaller part of a cut: keys are bound there, and nowhere else; the larger part makes its view,
// serves what needs no voters, and has keyed requests answered at once and not at their deadline.
func TestViewsVotersInSmallerPart(t *testing.T) {
	t.Parallel()
	f := newViewFleet(t, "\n  voters = [\"i3\", \"i4\"]")
	f.withFault("voters cut off", []int{3, 4}, func() {
		f.relays.Sever([]int{3, 4}, all(3, 4), true)
		f.relays.Sever(all(3, 4), []int{3, 4}, true)
		f.until("knows that it is the smaller part", []int{3, 4}, isolated)
		f.one(all(3, 4))
		cut := time.Now()
		for i := range 20 {
			if status := request(f.all[3].addr, "POST", fmt.Sprint("small-", i), 5*time.Second); status != 200 && status != 502 { // one in forty is reset
				t.Errorf("keyed, beside the voters: %d", status)
			}
			if status := request(f.all[0].addr, "POST", fmt.Sprint("large-", i), 5*time.Second); status == 200 {
				t.Error("keyed, without voters: served")
			}
			if status := request(f.all[0].addr, "GET", "", 5*time.Second); status != 200 {
				t.Errorf("safe, without voters: %d", status)
			}
		}
		t.Logf("without voters: %s", f.diagnosed(cut, time.Now(), []int{3, 4}))
	})
	for key := range f.groups[0].Effects() {
		if len(key) > 6 && key[:6] == "large-" {
			t.Errorf("%s took effect where no voter agreed", key)
		}
	}
	f.end()
}
