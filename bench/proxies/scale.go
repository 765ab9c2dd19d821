package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const reads = "class \"read\" {\n aim = \"2s\"\n deadline = \"5s\"\n effect = \"safe\"\n}\n"

// many writes a configuration of clusters with ten endpoints each and routes over them; mark is what /mark answers.
func many(addr, back string, clusters, routes, mark int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%slistener \"l\" {\n address = %q\n}\n", reads, addr)
	for i := range clusters {
		fmt.Fprintf(&b, "cluster \"c%d\" {\n", i)
		for j := range 10 {
			at := fmt.Sprintf("127.1.%d.%d:%d", i%250, j+1, 9000+i/250)
			if i == 0 {
				at = back
			}
			fmt.Fprintf(&b, " endpoint \"e%d\" {\n  address = %q\n }\n", j, at)
			if i == 0 {
				break
			}
		}
		b.WriteString("}\n")
	}
	fmt.Fprintf(&b, "route \"mark\" {\n match {\n path = \"/mark\"\n }\n respond {\n status = 200\n body = \"%d\"\n }\n}\n", mark)
	b.WriteString("route \"read\" {\n match {\n prefix = \"/read\"\n }\n class = \"read\"\n cluster = \"c0\"\n}\n")
	for i := range routes {
		fmt.Fprintf(&b, "route \"r%d\" {\n match {\n hosts = [\"s%d.example\"]\n prefix = \"/p%d/x\"\n }\n class = \"read\"\n cluster = \"c%d\"\n}\n",
			i, i/20, i, i%clusters)
	}
	return b.String()
}

// running is a product under measurement.
type running struct {
	cmd  *exec.Cmd
	addr string
	path string
	stop func()
}

func startMany(folder, back string, clusters, routes int) (*running, error) {
	r := &running{addr: free(), path: filepath.Join(folder, fmt.Sprintf("many-%d-%d.hcl", clusters, routes))}
	if err := os.WriteFile(r.path, []byte(many(r.addr, back, clusters, routes, 0)), 0o600); err != nil {
		return nil, err
	}
	var err error
	if r.cmd, r.stop, err = child("0", nil, *binary, "serve", "--config", r.path); err != nil {
		return nil, err
	}
	return r, up(r.addr)
}

// resident returns the resident memory in MB.
func (r *running) resident() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	var kb float64
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, is := strings.CutPrefix(line, "VmRSS:"); is {
			fmt.Sscan(rest, &kb)
		}
	}
	return kb / 1024, nil
}

// mark returns what /mark answers.
func (r *running) mark() (string, error) {
	resp, err := http.Get("http://" + r.addr + "/mark")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(bytes.TrimSpace(text)), err
}

// scale measures memory by the number of clusters, and what reloads of many routes take and do to callers.
func scale(folder, back string) error {
	for _, n := range []int{1, 100, 1000} {
		r, err := startMany(folder, back, n, 10)
		if err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		mb, err := r.resident()
		r.stop()
		if err != nil {
			return err
		}
		fmt.Printf("%5d clusters of ten endpoints: %.1f MB resident\n", n, mb)
	}
	r, err := startMany(folder, back, 10, 10_000)
	if err != nil {
		return err
	}
	defer r.stop()
	calm, busy := &proxy{name: "calm", addr: r.addr}, &proxy{name: "reloads", addr: r.addr}
	var took []float64
	for i := range *rounds {
		if err := calm.round(); err != nil {
			return err
		}
		done := make(chan error, 1)
		go func() { done <- busy.round() }()
		time.Sleep(200 * time.Millisecond)
		want := fmt.Sprint(i + 1)
		if err := os.WriteFile(r.path, []byte(many(r.addr, back, 10, 10_000, i+1)), 0o600); err != nil {
			return err
		}
		began := time.Now()
		if err := r.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		for got := ""; got != want; time.Sleep(5 * time.Millisecond) {
			if got, err = r.mark(); err != nil || time.Since(began) > time.Minute {
				return fmt.Errorf("mark %q: %w", got, err)
			}
		}
		took = append(took, float64(time.Since(began))/1e6)
		if err := <-done; err != nil {
			return err
		}
	}
	fmt.Printf("reload of 10,000 routes under traffic on one core: %.0f ms\n", median(took))
	fmt.Printf("99th percentile: %.0f µs calm, %.0f µs in rounds of %v s with one reload, ratio %.2f; throughput ratio %.2f\n",
		median(calm.p99), median(busy.p99), *seconds, median(busy.p99)/median(calm.p99), median(busy.throughput)/median(calm.throughput))
	fmt.Printf("longest answer: %.1f ms calm, %.1f ms with a reload\n", median(calm.longest)/1e3, median(busy.longest)/1e3)
	return nil
}
