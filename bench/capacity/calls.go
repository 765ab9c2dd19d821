package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"silvertrail/internal/fleet"
	"silvertrail/internal/gateway"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/ledger"
	"silvertrail/internal/testkit/fake"
)

// instance is the product with packets that are counted: each line that comes in is answered by their bytes and number.
type instance struct {
	Config string `required:""`
}

// counted counts what it sends, heads of IP and UDP with it, but not streams.
type counted struct {
	*fleet.Transport
	bytes, packets atomic.Int64
}

func (c *counted) WriteTo(b []byte, addr string) (time.Time, error) {
	c.bytes.Add(int64(len(b)) + 28)
	c.packets.Add(1)
	return c.Transport.WriteTo(b, addr)
}

func (c *counted) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return c.WriteTo(b, a.Addr)
}

func (o *instance) Run() error {
	file, err := conf.Load(o.Config)
	if err != nil {
		return err
	}
	c := &counted{}
	if file.Fleet != nil {
		if c.Transport, err = fleet.Listen(file.Fleet.Listen); err != nil {
			return err
		}
		file.Fleet.Transport = c
	}
	g, err := gateway.Start(file, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	defer g.Close()
	debug.SetGCPercent(400) // as serve does
	fmt.Println(g.Addr("l"))
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		fmt.Println(c.bytes.Load(), c.packets.Load())
	}
	return nil
}

type calls struct {
	common
	Variants []string      `default:"plain,alone,fleet-1,fleet-3,fleet-5,fleet-9,ledger-os,ledger-group,ledger-each,link"`
	Rate     float64       `default:"80" help:"Calls a second, open loop."`
	For      time.Duration `default:"6s" help:"How long calls are made, and calm is taken."`
}

func (o *calls) Run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	rows := map[string]*row{}
	defer func() { // also after an error: what was measured is told
		for _, v := range o.Variants {
			if r := rows[v]; r != nil && r.Values != nil {
				r.print(o.JSON)
			}
		}
	}()
	for round := range o.Rounds { // all variants in turn
		for _, v := range o.Variants {
			if rows[v] == nil {
				rows[v] = &row{Part: "calls", Size: v}
			}
			if err := o.round(rows[v], self, v, uint64(round)); err != nil {
				return fmt.Errorf("%s: %w", v, err)
			}
		}
	}
	return nil
}

const base = `class "read" {
  aim      = "1s"
  deadline = "2s"
  effect   = "safe"
}
listener "l" {
  address = "127.0.0.1:0"
}
cluster "c" {
  endpoint "a" {
    address = "%[1]s"
    status  = "%[3]s"
  }
  endpoint "b" {
    address = "%[2]s"
    status  = "%[3]s"
  }
}
route "read" {
  match {
    prefix = "/read"
  }
  class   = "read"
  cluster = "c"
  %[4]s
}
`

const keyed = `class "keyed" {
  aim      = "1s"
  deadline = "2s"
  effect   = "keyed"
  scope    = "zone"
  window   = "5s"
  keep     = "1s"
}
route "keyed" {
  match {
    prefix = "/keyed"
  }
  class   = "keyed"
  cluster = "c"
}
`

// texts writes the configurations of a variant: the first instance is asked.
func (o *calls) texts(folder, variant string, nodos []string) (texts []string, ways []*fake.Path, err error) {
	one := fmt.Sprintf(base, nodos[0], nodos[1], "ready", "") + keyed
	control := fmt.Sprintf("process {\n control = %q\n}\n", filepath.Join(folder, "control"))
	kind, size, _ := strings.Cut(variant, "-")
	switch kind {
	case "plain", "alone":
		return []string{one}, nil, nil
	case "ledger":
		return []string{one + control + fmt.Sprintf("ledger {\n path = %q\n mode = %q\n}\n", filepath.Join(folder, "ledger"), size)}, nil, nil
	case "fleet":
		var n int
		if _, err := fmt.Sscan(size, &n); err != nil {
			return nil, nil, fmt.Errorf("no size: %w", err)
		}
		keyring := filepath.Join(folder, "keys")
		key, err := conf.NewKey()
		if err == nil {
			err = os.WriteFile(keyring, []byte(key+"\n"), 0o600)
		}
		if err != nil {
			return nil, nil, err
		}
		var names, seeds []string
		for i := range n {
			names, seeds = append(names, fmt.Sprintf("%q", fmt.Sprint("i", i))), append(seeds, fmt.Sprintf("%q", free()))
		}
		for i := range n {
			texts = append(texts, one+fmt.Sprintf("fleet \"bench\" {\n name = %s\n listen = %s\n seeds = [%s]\n keyring = %q\n voters = [%s]\n new = true\n views = true\n}\n",
				names[i], seeds[i], strings.Join(seeds, ", "), keyring, strings.Join(names, ", ")))
		}
		return texts, nil, nil
	case "link":
		authority, err := fake.NewAuthority(folder, "salas")
		if err != nil {
			return nil, nil, err
		}
		salas, at := []string{"centro", "norte"}, []string{free(), free()}
		for i, sala := range salas {
			file := func(name string) string { return filepath.Join(folder, name) }
			if err := authority.Issue(file(sala+".pem"), file(sala+".key"), sala, time.Now().Add(time.Hour)); err != nil {
				return nil, nil, err
			}
			way, err := fake.NewPath(at[1-i])
			if err != nil {
				return nil, nil, err
			}
			ways = append(ways, way)
			text := fmt.Sprintf(base, nodos[0], nodos[1], []string{"draining", "ready"}[i], fmt.Sprintf("cross = [%q]", salas[1-i]))
			texts = append(texts, text+fmt.Sprintf("process {\n zones = [%[1]q]\n zone = %[1]q\n}\nlink %[1]q {\n listen = %[2]q\n certificate = %[3]q\n key = %[4]q\n authority = %[5]q\n peer %[6]q {\n  address = %[7]q\n }\n}\n",
				sala, at[i], file(sala+".pem"), file(sala+".key"), file("salas.pem"), salas[1-i], way.Addr))
		}
		return texts, ways, nil
	}
	return nil, nil, fmt.Errorf("no such variant")
}

// counts are what instances have sent so far, by packets and over links.
func counts(all []*process, outs []*bufio.Reader, ways []*fake.Path) (sent, packets int64, err error) {
	for i, p := range all {
		var b, n int64
		fmt.Fprintln(p.in)
		line, err := outs[i].ReadString('\n')
		if err != nil {
			return 0, 0, fmt.Errorf("an instance: %w", err)
		}
		fmt.Sscan(line, &b, &n)
		sent, packets = sent+b, packets+n
	}
	for _, w := range ways {
		sent += w.Bytes(fake.ToServer) + w.Bytes(fake.ToClient)
	}
	return sent, packets, nil
}

func (o *calls) round(r *row, self, variant string, seed uint64) error {
	folder, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	var nodos []string
	for i := range 2 {
		n, err := fake.NewEndpoint(fake.EndpointOptions{Name: fmt.Sprint("n", i)})
		if err != nil {
			return err
		}
		defer n.Close()
		nodos = append(nodos, n.Addr)
	}
	texts, ways, err := o.texts(folder, variant, nodos)
	if err != nil {
		return err
	}
	for _, w := range ways {
		defer w.Close()
	}
	var all []*process
	var outs []*bufio.Reader
	addr := ""
	for i, text := range texts {
		path := filepath.Join(folder, fmt.Sprintf("%d.hcl", i))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		p, err := start(nil, self, "instance", "--config", path)
		if err != nil {
			return err
		}
		defer p.stop()
		out := bufio.NewReader(p.out)
		line, err := out.ReadString('\n')
		if err != nil {
			return fmt.Errorf("instance %d: %w", i, err)
		}
		if i == 0 {
			addr = strings.TrimSpace(line)
		}
		all, outs = append(all, p), append(outs, out)
	}
	path, head := "/keyed", "Idempotency-Key"
	if variant == "plain" || variant == "link" {
		path, head = "/read", ""
	}
	// One call after the other until one is served: the fleet has met, the link stands.
	if err := until("first answer", func() bool {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		defer c.Close()
		status, err := ask(c, bufio.NewReader(c), path, head)
		time.Sleep(100 * time.Millisecond)
		return err == nil && status == http.StatusOK
	}); err != nil {
		return err
	}
	if _, _, err := load(addr, path, head, o.Rate, 2*time.Second, seed+100); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	socket := control(filepath.Join(folder, "control"))
	look := func() (v ledger.View, err error) {
		if strings.HasPrefix(variant, "ledger") {
			_, text := get(socket, "http://control/ledger")
			err = json.Unmarshal(bytes.TrimSpace(text), &v)
		}
		return v, err
	}
	take := func() (cpu [2]time.Duration) { // of the one that is asked, of all others
		for i, p := range all {
			cpu[min(i, 1)] += p.cpu()
		}
		return cpu
	}
	span := func(do func() error) (cpu [2]float64, sent, packets float64, err error) {
		before := take()
		s, n, err := counts(all, outs, ways)
		if err != nil {
			return cpu, 0, 0, err
		}
		if err := do(); err != nil {
			return cpu, 0, 0, err
		}
		s2, n2, err := counts(all, outs, ways)
		after := take()
		return [2]float64{ms(after[0] - before[0]), ms(after[1] - before[1])}, float64(s2 - s), float64(n2 - n), err
	}
	calm, bytesCalm, packetsCalm, err := span(sleep(o.For))
	if err != nil {
		return err
	}
	before, err := look()
	if err != nil {
		return err
	}
	made, failed, written := 0, 0, all[0].written()
	began := time.Now()
	busy, sent, packets, err := span(func() (err error) {
		made, failed, err = load(addr, path, head, o.Rate, o.For, seed)
		return err
	})
	if err != nil {
		return err
	}
	after, err := look()
	if err != nil {
		return err
	}
	longer, n := time.Since(began).Seconds()/o.For.Seconds(), float64(made)
	r.add("calls that failed", float64(failed))
	r.add("processor time in calm, ms a second", calm[0]/o.For.Seconds())
	r.add("processor time a call, µs", (busy[0]-longer*calm[0])/n*1000)
	if others := float64(len(all) - 1); others > 0 {
		r.add("of each other instance a call, µs", (busy[1]-longer*calm[1])/n/others*1000)
		r.add("of each other instance in calm, ms a second", calm[1]/others/o.For.Seconds())
		r.add("bytes in calm, a second, all instances", bytesCalm/o.For.Seconds())
		r.add("bytes a call, all instances", (sent-longer*bytesCalm)/n)
		r.add("packets a call, all instances", (packets-longer*packetsCalm)/n)
	}
	if strings.HasPrefix(variant, "ledger") {
		r.add("fsyncs a call", float64(after.Syncs-before.Syncs)/n)
		r.add("records a call", float64(after.LastSeq-before.LastSeq)/n)
		r.add("bytes written to the disk a call", float64(all[0].written()-written)/n)
		r.add("answers that did not wait for their record", float64(after.LateResponses-before.LateResponses))
	}
	resident, own := all[0].memory()
	r.add("resident, MB", resident)
	r.add("of it not of files, MB", own)
	return nil
}
