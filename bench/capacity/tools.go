package main

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"silvertrail/internal/fleet"
	"silvertrail/internal/fleet/version"
)

type tools struct {
	common
	Sizes []string `default:"5/20,20/20,50/20,100/20,5/80,5/400" help:"Members and clusters. All members but one are hollow: their fleet alone, in this process."`
}

func (o *tools) Run() error {
	for _, size := range o.Sizes {
		var members, n int
		if _, err := fmt.Sscanf(size, "%d/%d", &members, &n); err != nil {
			return fmt.Errorf("--sizes: %q is not members/clusters", size)
		}
		r := &row{Part: "tools", Size: size}
		for range o.Rounds {
			if err := o.round(r, members, n); err != nil {
				return fmt.Errorf("%s: %w", size, err)
			}
		}
		if err := r.print(o.JSON); err != nil {
			return err
		}
	}
	return nil
}

func (o *tools) round(r *row, members, n int) error {
	folder, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	var acts []version.Entry
	for i := range n {
		name := fmt.Sprint("c", i)
		acts = append(acts, version.Entry{Kind: version.EndpointList, Name: name, Hash: version.HashOf([]byte(name))})
	}
	key := bytes.Repeat([]byte{3}, 32)
	var hollow []*fleet.Fleet
	var sends []*counted
	sent := func() (b, n float64) {
		for _, c := range sends {
			b, n = b+float64(c.bytes.Load()), n+float64(c.packets.Load())
		}
		return b / float64(len(sends)), n / float64(len(sends))
	}
	seed := free()
	for i := range members - 1 {
		at := seed
		if i > 0 {
			at = "127.0.0.1:0"
		}
		t, err := fleet.Listen(at)
		if err != nil {
			return err
		}
		c := &counted{Transport: t}
		f, err := fleet.Start(fleet.Options{FleetName: "bench", Name: fmt.Sprint("i", i), Listen: t.Addr(), Seeds: []string{seed}, Keyring: [][]byte{key},
			MaxMembers: 1000, MaxKeys: 1 << 10, NewFleet: true, Views: true, Versions: true, RolloutTimeout: 10 * time.Second, MaxDeadline: 2 * time.Second, KeyRetention: 10 * time.Second,
			Log: slog.New(slog.DiscardHandler), Transport: c, AppliedVersions: func() []version.Entry { return acts }})
		if err != nil {
			return err
		}
		defer f.Close()
		hollow, sends = append(hollow, f), append(sends, c)
	}
	path, sock, keyring := filepath.Join(folder, "product.hcl"), filepath.Join(folder, "control"), filepath.Join(folder, "keys")
	if err := os.WriteFile(keyring, []byte(base64.StdEncoding.EncodeToString(key)+"\n"), 0o600); err != nil {
		return err
	}
	c := clusters{Form: "blocks"}
	if _, err := c.write(folder, path, free(), n, 6*n, 0); err != nil {
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text = fmt.Appendf(text, "process {\n control = %q\n}\nfleet \"bench\" {\n name = \"real\"\n listen = %q\n seeds = [%q]\n keyring = %q\n members = 1000\n views = true\n versions = true\n}\n",
		sock, free(), seed, keyring)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	p, err := start(nil, o.Bin, "serve", "--config", path)
	if err != nil {
		return err
	}
	defer p.stop()
	client := control(sock)
	began := time.Now()
	if err := until("full fleet", func() bool {
		_, text := get(client, "http://control/fleet/versions")
		time.Sleep(50 * time.Millisecond)
		return bytes.Count(text, []byte(`"member"`)) >= members
	}); err != nil {
		return err
	}
	r.add("all members known after, ms", ms(time.Since(began)))
	time.Sleep(5 * time.Second)
	b, count := sent()
	calm, wall, _ := p.during(sleep(3 * time.Second))
	after, counts := sent()
	r.add("processor time in calm, ms a second", ms(calm)/wall.Seconds())
	r.add("bytes of packets in calm, a hollow member a second", (after-b)/wall.Seconds())
	r.add("packets in calm, a hollow member a second", (counts-count)/wall.Seconds())
	for _, path := range []string{"metrics", "fleet/versions", "fleet/members"} {
		const asks = 5
		size := 0
		busy, wall, _ := p.during(func() error {
			for range asks {
				_, text := get(client, "http://control/"+path)
				size = len(text)
			}
			return nil
		})
		r.add(path+", bytes", float64(size))
		r.add(path+", processor time, ms", (ms(busy)-ms(calm)*wall.Seconds()/3)/asks)
	}
	began = time.Now()
	out, err := exec.Command(o.Bin, "fleet", "versions", "--control", sock).Output()
	if len(out) == 0 {
		return fmt.Errorf("fleet versions: %w", err)
	}
	r.add("fleet versions, the command, ms", ms(time.Since(began)))
	r.add("fleet versions, the command, lines", float64(strings.Count(string(out), "\n")))
	resident, _ := p.memory()
	r.add("resident, MB", resident)

	// A fifth end without a word, all together.
	lost := (members - 1) / 5
	if lost == 0 {
		return nil
	}
	for _, f := range hollow[len(hollow)-lost:] {
		f.Close()
	}
	sends = sends[:len(sends)-lost]
	b, count = sent()
	busy, wall, _ := p.during(sleep(8 * time.Second))
	after, counts = sent()
	r.add("in 8 s after a fifth was lost: processor time, ms a second", ms(busy)/wall.Seconds())
	r.add("the same: bytes of packets, a member a second", (after-b)/wall.Seconds())
	r.add("the same: packets, a member a second", (counts-count)/wall.Seconds())
	return nil
}
