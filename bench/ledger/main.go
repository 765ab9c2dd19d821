// Command ledger measures what it costs to record keyed requests, in each mode, how long a large log takes to be read after
// a crash, and how an embedded store does at the same work. All on loopback and the disk of a temporary folder; figures
// are ratios of one run.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"slices"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"
	"go.etcd.io/bbolt"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/gateway"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/ledger"
	"silvertrail/internal/ledger/commit"
	"silvertrail/internal/ledger/disk"
	"silvertrail/internal/ledger/segment"
	"silvertrail/internal/testkit/fake"
)

type commands struct {
	Requests requests `cmd:"" help:"Throughput and latency of keyed requests with the ledger off and in each mode."`
	Recover  recovery `cmd:"" name:"recover" help:"Time and memory to read a large log at the start."`
	Stores   stores   `cmd:"" help:"Intents a second made durable: the ledger, and bbolt with batches."`
}

func main() {
	k := kong.Parse(&commands{})
	if err := k.Run(); err != nil {
		log.Fatal(err)
	}
}

const text = `
process {
  sockets = 4096
  keys    = 2000000
}
%s
class "seat" {
  aim      = "2s"
  deadline = "2s"
  effect   = "keyed"
  scope    = "zone"
  window   = "5s"
  keep     = "1s"
}
listener "l" {
  address     = "127.0.0.1:0"
  connections = 1000
}
cluster "c" {
  endpoint "a" {
    address = "%s"
  }
  endpoint "b" {
    address = "%s"
  }
}
route "r" {
  class   = "seat"
  cluster = "c"
}
`

type requests struct {
	Rounds  int           `default:"5" help:"Rounds of all variants, in turn."`
	Each    time.Duration `default:"1s" help:"How long a variant runs in a round."`
	Callers []int         `default:"16,256" help:"Connections that ask, each waiting for its answer."`
	Gather  time.Duration `default:"3ms" help:"Of mode group."`
	Work    time.Duration `default:"0s" help:"Of a nodo, for each request."`
	Modes   []string      `default:"off,os,group,each"`
	Profile string        `placeholder:"FILE" help:"Write a CPU profile."`
}

type variant struct {
	name string
	g    *gateway.Gateway
	hist *hdrhistogram.Histogram
	rate []float64
}

func (o *requests) Run() error {
	if o.Profile != "" {
		f, err := os.Create(o.Profile)
		if err == nil {
			err = pprof.StartCPUProfile(f)
		}
		if err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	for _, n := range o.Callers {
		if err := o.play(n); err != nil {
			return err
		}
	}
	return nil
}

func (o *requests) play(callers int) error {
	folder, err := os.MkdirTemp("", "ledger")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	var nodos []any
	for i := range 2 {
		n, err := fake.NewEndpoint(fake.EndpointOptions{Name: fmt.Sprint("n", i), Work: o.Work})
		if err != nil {
			return err
		}
		defer n.Close()
		nodos = append(nodos, n.Addr)
	}
	var all []*variant
	for _, mode := range o.Modes {
		block := ""
		if mode != "off" {
			block = fmt.Sprintf("ledger {\n path = %q\n mode = %q\n", filepath.Join(folder, mode), mode)
			if mode == "group" {
				block += fmt.Sprintf(" gather = %q\n", o.Gather)
			}
			block += "}"
		}
		file, err := conf.Parse(fmt.Appendf(nil, text, append([]any{block}, nodos...)...), "bench.hcl")
		if err != nil {
			return err
		}
		g, err := gateway.Start(file, slog.New(slog.DiscardHandler))
		if err != nil {
			return err
		}
		defer g.Close()
		all = append(all, &variant{name: mode, g: g, hist: hdrhistogram.New(1, 10_000_000, 3)})
	}
	for round := range o.Rounds + 1 {
		for _, v := range all {
			rate, h, err := drive(v.g.Addr("l").String(), callers, o.Each, fmt.Sprint(v.name, round))
			if err != nil {
				return fmt.Errorf("%s: %w", v.name, err)
			}
			if round > 0 { // the first one warms up
				v.rate = append(v.rate, rate)
				v.hist.Merge(h)
			}
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%d callers, %d rounds of %v\nMODE\tREQUESTS/S (MEDIAN, LEAST, MOST)\tTO OFF\tMEDIAN\t99TH\tRECORDS IN AN FSYNC\n", callers, o.Rounds, o.Each)
	var off float64
	for _, v := range all {
		slices.Sort(v.rate)
		mid := v.rate[len(v.rate)/2]
		if v.name == "off" {
			off = mid
		}
		joined := "-"
		if l, ok := v.g.LedgerStatus(); ok && l.Syncs > 0 {
			joined = fmt.Sprintf("%.1f", float64(l.SyncedRecords)/float64(l.Syncs))
		}
		fmt.Fprintf(w, "%s\t%.0f, %.0f, %.0f\t%.2f\t%v\t%v\t%s\n", v.name, mid, v.rate[0], v.rate[len(v.rate)-1], mid/off,
			time.Duration(v.hist.ValueAtQuantile(50))*time.Microsecond, time.Duration(v.hist.ValueAtQuantile(99))*time.Microsecond, joined)
	}
	return w.Flush()
}

// drive has callers ask with a key of their own for each request.
func drive(addr string, callers int, each time.Duration, name string) (rate float64, all *hdrhistogram.Histogram, err error) {
	all = hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var done atomic.Int64
	var crowd sync.WaitGroup
	begun := time.Now()
	for caller := range callers {
		crowd.Go(func() {
			h := hdrhistogram.New(1, 10_000_000, 3)
			failed := func() error {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					return err
				}
				defer c.Close()
				in := bufio.NewReader(c)
				for i := 0; time.Since(begun) < each; i++ {
					at := time.Now()
					fmt.Fprintf(c, "POST /seat HTTP/1.1\r\nHost: x\r\nX-Tenant-Id: escuela-%d\r\nX-Request-Id: %s-%d-%d\r\nIdempotency-Key: seat-%s-%d-%d\r\nContent-Length: 0\r\n\r\n",
						caller, name, caller, i, name, caller, i)
					r, err := http.ReadResponse(in, nil)
					if err != nil {
						return err
					}
					io.Copy(io.Discard, r.Body)
					r.Body.Close()
					if r.StatusCode != http.StatusOK {
						return fmt.Errorf("status %d", r.StatusCode)
					}
					h.RecordValue(time.Since(at).Microseconds())
					done.Add(1)
				}
				return nil
			}()
			mu.Lock()
			defer mu.Unlock()
			all.Merge(h)
			if failed != nil {
				err = failed
			}
		})
	}
	crowd.Wait()
	return float64(done.Load()) / time.Since(begun).Seconds(), all, err
}

type recovery struct {
	Records int `default:"10000000"`
	Live    int `default:"10000" help:"Keys that are still of importance."`
}

// Run writes a log of whole requests, the last of which are within their window, and starts a ledger on it.
func (o *recovery) Run() error {
	folder, err := os.MkdirTemp("", "ledger")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	size, files, err := o.write(folder)
	if err != nil {
		return err
	}
	runtime.GC()
	var base runtime.MemStats
	runtime.ReadMemStats(&base)
	runtime.GOMAXPROCS(1)
	var peak atomic.Uint64
	stop := make(chan struct{})
	go func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapInuse))
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	begun := time.Now()
	l, err := ledger.Start(ledger.Options{Dir: folder, MaxKeys: 1 << 20, Log: slog.New(slog.DiscardHandler),
		Commit:    commit.Config{MaxGroupDelay: 3 * time.Millisecond, SlowDiskTime: time.Second, SegmentBytes: 64 << 20, MaxPendingBytes: 4 << 20},
		Retention: commit.Retention{MaxAge: 24 * time.Hour, MaxBytes: 1 << 40, MinAge: time.Minute}})
	took := time.Since(begun)
	close(stop)
	if err != nil {
		return err
	}
	defer l.Close()
	fmt.Printf("%d records of %d bytes in %d segments, one core: %v, %.2f million records a second, heap %.1f MB at the most (%.1f before), %d keys\n",
		o.Records, size, files, took.Round(time.Millisecond), float64(o.Records)/took.Seconds()/1e6, float64(peak.Load())/1e6, float64(base.HeapInuse)/1e6,
		l.Status().RecoveredKeys)
	return nil
}

func (o *recovery) write(folder string) (bytes int64, files int, err error) {
	boot, since, now := disk.BootID(), disk.SinceBoot(), time.Now()
	span := time.Hour
	h := segment.Header{LedgerID: 1, Process: 2, FirstSeq: 1, BootID: boot, StartedAt: now.Add(-span).UnixMicro(), StartedSinceBoot: (since - span).Microseconds(), Mode: "group"}
	var f *os.File
	var out *bufio.Writer
	var frame []byte
	left := 0
	n := o.Records / 4
	seq := uint64(0)
	for i := range n {
		at := span * time.Duration(i) / time.Duration(n)
		if i >= n-o.Live {
			at = span - time.Second
		} else {
			at = min(at, span-2*time.Minute)
		}
		if left <= 0 {
			if f != nil {
				if err := out.Flush(); err != nil {
					return 0, 0, err
				}
				f.Close()
			}
			h.Number++
			h.FirstSeq = seq + 1
			files++
			if f, err = os.Create(filepath.Join(folder, fmt.Sprintf("%016x.seg", h.Number))); err != nil {
				return 0, 0, err
			}
			out = bufio.NewWriterSize(f, 1<<20)
			out.Write(segment.AppendHeader(nil, h.Number, &h))
			left = 64 << 20
		}
		id := idempotency.KeyIDOf("", fmt.Sprint(i))
		frame = frame[:0]
		for _, r := range []segment.Record{
			{Kind: segment.Received, At: at, Request: uint64(i + 1), ID: fmt.Sprintf("%016x", i), Class: "reserva", Key: fmt.Sprintf("seat-%012d", i),
				Tenant: fmt.Sprintf("escuela-%d", i%500), KeyID: id, TimeLeft: 5 * time.Second},
			{Kind: segment.Intent, At: at, Request: uint64(i + 1), Attempt: 1, Endpoint: fmt.Sprintf("portal-%d", i%20), Cluster: "portal", Zone: "sala-centro",
				Scope: 1, Window: 30 * time.Second, Retention: 30 * time.Second},
			{Kind: segment.Outcome, At: at + time.Millisecond, Request: uint64(i + 1), Attempt: 1, Responded: true, Verdict: "ok", Status: 200},
			{Kind: segment.Final, At: at + time.Millisecond, Request: uint64(i + 1), Ending: segment.Served, Status: 200}} {
			seq++
			if frame, err = segment.AppendFrame(frame, seq, &r); err != nil {
				return 0, 0, err
			}
		}
		segment.Seal(frame, h.Number)
		out.Write(frame)
		left -= len(frame)
		bytes += int64(len(frame))
	}
	if err := out.Flush(); err != nil {
		return 0, 0, err
	}
	return bytes, files, f.Close()
}

type stores struct {
	Callers int           `default:"64"`
	Each    time.Duration `default:"3s"`
}

// Run has callers make a short record durable one after the other.
func (o *stores) Run() error {
	folder, err := os.MkdirTemp("", "ledger")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	var terms idempotency.Terms
	terms.Window = time.Minute
	for _, mode := range []commit.Mode{commit.GroupCommit, commit.EachRecord} {
		l, err := ledger.Start(ledger.Options{Dir: filepath.Join(folder, mode.String()), MaxKeys: 1 << 20, Log: slog.New(slog.DiscardHandler),
			Commit:    commit.Config{Mode: mode, MaxGroupDelay: 3 * time.Millisecond, SlowDiskTime: time.Second, SegmentBytes: 64 << 20, MaxPendingBytes: 4 << 20},
			Retention: commit.Retention{MaxAge: 24 * time.Hour, MaxBytes: 1 << 40}})
		if err != nil {
			return err
		}
		e, err := l.Begin(ledger.Request{ID: "r"})
		if err != nil {
			return err
		}
		o.measure("ledger, "+mode.String(), func(int) error {
			return e.BeginAttempt("portal-1", terms).Intent(context.Background(), idempotency.Place{Cluster: "portal", Zone: "sala-centro"})
		})
		l.Close()
	}
	db, err := bbolt.Open(filepath.Join(folder, "bolt"), 0o600, nil)
	if err != nil {
		return err
	}
	defer db.Close()
	db.MaxBatchDelay = 3 * time.Millisecond
	name := []byte("intents")
	if err := db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket(name); return err }); err != nil {
		return err
	}
	var number atomic.Uint64
	value, err := segment.AppendFrame(nil, 1, &segment.Record{Kind: segment.Intent, Request: 1, Attempt: 1, Endpoint: "portal-1", Cluster: "portal", Zone: "sala-centro", Window: time.Minute})
	if err != nil {
		return err
	}
	o.measure("bbolt, batches", func(int) error {
		key := fmt.Appendf(nil, "%016x", number.Add(1))
		return db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(name).Put(key, value) })
	})
	return nil
}

func (o *stores) measure(name string, f func(caller int) error) {
	var n atomic.Int64
	var crowd sync.WaitGroup
	begun := time.Now()
	for caller := range o.Callers {
		crowd.Go(func() {
			for time.Since(begun) < o.Each {
				if err := f(caller); err != nil {
					log.Print(name, ": ", err)
					return
				}
				n.Add(1)
			}
		})
	}
	crowd.Wait()
	fmt.Printf("%s: %.0f intents a second, %d callers\n", name, float64(n.Load())/time.Since(begun).Seconds(), o.Callers)
}
