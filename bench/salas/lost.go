package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"silvertrail/internal/testkit/fake"
)

// lost is the experiment: callers ask all three salas at a rate, whatever becomes of their requests; at one moment the first
// sala's nodos go without a word. The same seed draws the same arrivals for each way of taking it.
type lost struct {
	Rate   float64       `default:"340" help:"Requests a second, at each sala; one can serve 400."`
	Before time.Duration `default:"4s"`
	After  time.Duration `default:"10s"`
	Seeds  []uint64      `default:"1,2,3"`
	Queue  int           `default:"16" help:"Requests that wait at a nodo; what comes beyond is turned away."`
	Gone   int           `default:"1" help:"Salas that lose their nodos: 1 or 2."`
}

const (
	slots    = 4 // of each of two nodos
	workEach = 20 * time.Millisecond
	patience = 2 * time.Second
)

func (o *lost) Run() error {
	room := float64(3-o.Gone) * 2 * slots / workEach.Seconds() // of the salas that are left
	highs, lows := 3*o.Rate/2, 3*o.Rate/2
	best := min(highs, room)*10 + min(lows, max(room-highs, 0))
	fmt.Printf("%v requests a second at each of 3 salas, half of worth 1 and half of worth 10; %v seconds after the nodos of %d went; the room left could serve %.0f of worth a second\n",
		o.Rate, o.After.Seconds(), o.Gone, best)
	for _, seed := range o.Seeds {
		for _, way := range []string{"nothing", "naive", "crossing"} {
			if err := o.play(way, seed, best); err != nil {
				return err
			}
		}
	}
	return nil
}

func (o *lost) play(way string, seed uint64, best float64) error {
	s, err := start(fake.EndpointOptions{Work: workEach, Slots: slots, Queue: o.Queue}, 2, false, way == "crossing")
	if err != nil {
		return err
	}
	defer s.close()
	urls := [3]string{s.url(0), s.url(1), s.url(2)}
	if way == "naive" {
		front := httptest.NewServer(naive(s))
		defer front.Close()
		urls[0] = front.URL
	}
	c := client(512)
	var worth, late, failed, refused atomic.Int64
	var perSecond [64]atomic.Int64
	var salaWorth [3]atomic.Int64
	var wait sync.WaitGroup
	begun := time.Now()
	total := o.Before + o.After
	for sala := range urls {
		d := rand.New(rand.NewPCG(seed, uint64(sala)))
		wait.Go(func() {
			at := time.Duration(0)
			for {
				at += time.Duration(d.ExpFloat64() / o.Rate * float64(time.Second))
				if at >= total {
					return
				}
				high := d.IntN(2) == 1
				time.Sleep(time.Until(begun.Add(at)))
				wait.Go(func() {
					ctx, cancel := context.WithDeadline(context.Background(), begun.Add(at+patience))
					defer cancel()
					method, path, of := "GET", "/low", int64(1)
					if high {
						method, path, of = "POST", "/high", 10
					}
					status := ask(ctx, c, method, urls[sala]+path)
					if at < o.Before {
						return
					}
					switch {
					case status == 200:
						worth.Add(of)
						salaWorth[sala].Add(of)
						perSecond[int((at - o.Before).Seconds())].Add(of)
					case status == 0:
						late.Add(1)
					case status == 503:
						refused.Add(1)
					default:
						failed.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(time.Until(begun.Add(o.Before)))
	for _, nodos := range s.nodos[:o.Gone] {
		for _, n := range nodos {
			n.Close()
		}
	}
	wait.Wait()
	least := perSecond[0].Load()
	for i := range int(o.After.Seconds()) {
		least = min(least, perSecond[i].Load())
	}
	fmt.Printf("seed %d %-9s worth %7.0f a second, %.3f of what could be; worst second %.3f; by sala %d %d %d; refused %d, failed %d, no answer in time %d\n", seed, way,
		float64(worth.Load())/o.After.Seconds(), float64(worth.Load())/o.After.Seconds()/best, float64(least)/best,
		salaWorth[0].Load(), salaWorth[1].Load(), salaWorth[2].Load(), refused.Load(), failed.Load(), late.Load())
	return nil
}

// naive asks the own sala's nodos and, where that fails, the other salas' nodos in turn, up to three times, as a proxy does
// that has them all in one list and retries.
func naive(s *salas) http.Handler {
	t := &http.Transport{MaxIdleConnsPerHost: 512}
	var turn atomic.Uint64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for try := range 4 {
			nodo := s.nodos[0][turn.Add(1)%2]
			if try > 0 {
				nodo = s.nodos[1+turn.Add(1)%2][turn.Load()/2%2]
			}
			q, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+nodo.Addr+r.URL.Path, nil)
			if err != nil {
				break
			}
			a, err := t.RoundTrip(q)
			if err != nil {
				continue
			}
			if a.StatusCode >= 500 {
				a.Body.Close()
				continue
			}
			defer a.Body.Close()
			w.WriteHeader(a.StatusCode)
			io.Copy(w, a.Body)
			return
		}
		w.WriteHeader(http.StatusBadGateway)
	})
}
