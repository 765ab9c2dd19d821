package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Faults of the fake sidecar. Each has to be reported.
const (
	faultNone        = "none"
	faultCloses      = "closes after it has read"
	faultSilent      = "never answers"
	faultLate        = "answers late"
	faultCuts        = "cuts its answers off"
	faultHolds       = "holds back the end of its answers"
	faultForeign     = "answers with another body"
	faultBody        = "sends other bodies"
	faultTwice       = "sends keyed requests to both zones"
	faultUnsafeTwice = "sends unsafe requests twice"
	faultList        = "keeps its first list"
	faultCold        = "sends a burst to an endpoint that has just started"
	faultLeft        = "sends late, whoever has left"
	faultTime        = "tells endpoints of more time"
	faultDescriptors = "opens too many files"
	faultMemory      = "takes too much memory"
	faultSlow        = "is ready late"
	faultCrash       = "ends at SIGHUP"
	faultStays       = "stays after SIGTERM"
)

const (
	faultInterval = 25  // requests: each such one meets the fault
	coldBurst     = 150 // requests, half more than the budget of the first window
)

// fakeSidecar is a plain proxy with one fault. It sends each request once, to the endpoints by turns.
type fakeSidecar struct {
	fault    string
	client   *http.Client
	requests atomic.Int64

	mu      sync.Mutex
	entries []entry
	started int64 // of the endpoint that started last
	turn    int
	kept    []*os.File
	memory  []byte
}

// runFake runs a fake sidecar until SIGTERM.
func runFake(fault string) error {
	terminated, hangup := make(chan os.Signal, 2), make(chan os.Signal, 9)
	signal.Notify(terminated, syscall.SIGTERM)
	signal.Notify(hangup, syscall.SIGHUP)
	f := &fakeSidecar{fault: fault, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}}
	config, err := readFakeConfig()
	if err != nil {
		return err
	}
	f.follow(config.Discovery)
	f.exhaust()
	if fault == faultSlow {
		time.Sleep(readyBound + time.Second)
	}
	l, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f, ReadHeaderTimeout: time.Minute}
	go server.Serve(l)
	admin, err := net.Listen("tcp", os.Getenv("LB_ADMIN"))
	if err != nil {
		return err
	}
	go http.Serve(admin, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	go func() {
		for range hangup {
			if fault == faultCrash {
				os.Exit(3)
			}
		}
	}()
	go func() {
		for ; ; time.Sleep(20 * time.Millisecond) {
			f.follow(config.Discovery)
		}
	}()
	<-terminated
	if fault == faultStays {
		select {}
	}
	ctx, cancel := context.WithTimeout(context.Background(), usualDeadline)
	defer cancel()
	_ = server.Shutdown(ctx) // what is left ends with the process
	return nil
}

type fakeConfig struct {
	Listen, Discovery string
}

func readFakeConfig() (c fakeConfig, err error) {
	text, err := os.ReadFile(os.Getenv("LB_CONFIG"))
	if err != nil {
		return c, err
	}
	return c, json.Unmarshal(text, &c)
}

// follow takes the list of discovery.
func (f *fakeSidecar) follow(address string) {
	f.mu.Lock()
	known := len(f.entries) > 0
	f.mu.Unlock()
	if known && f.fault == faultList {
		return
	}
	response, err := f.client.Get("http://" + address + "/registry/instances")
	if err != nil {
		return
	}
	defer response.Body.Close()
	var answer list
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = f.entries[:0]
	for _, e := range answer.Endpoints {
		if e.Status != "ready" {
			continue
		}
		f.entries = append(f.entries, e)
		if e.StartedAt > f.started {
			f.started = e.StartedAt
			f.meetStart(e)
		}
	}
}

// meetStart does what the fault does to an endpoint that has just started.
func (f *fakeSidecar) meetStart(e entry) {
	if f.fault != faultCold {
		return
	}
	for range coldBurst {
		go func() {
			response, err := f.client.Get("http://" + e.Address)
			if err == nil {
				response.Body.Close()
			}
		}()
	}
}

// exhaust takes what the fault takes.
func (f *fakeSidecar) exhaust() {
	switch f.fault {
	case faultDescriptors:
		for range maxSockets + 1 {
			if file, err := os.Open(os.DevNull); err == nil {
				f.kept = append(f.kept, file)
			}
		}
	case faultMemory:
		f.memory = make([]byte, (maxMemoryMB+8)<<20)
		for i := range f.memory {
			f.memory[i] = 1
		}
	}
}

// pick returns an endpoint.
func (f *fakeSidecar) pick() entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.entries) == 0 {
		return entry{Address: "127.0.0.1:1"}
	}
	f.turn++
	return f.entries[f.turn%len(f.entries)]
}

func (f *fakeSidecar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isDue := f.requests.Add(1)%faultInterval == 0
	timeout, _ := strconv.Atoi(r.Header.Get("X-Timeout-Ms"))
	deadline := time.Now().Add(time.Duration(timeout) * time.Millisecond)
	switch {
	case isDue && f.fault == faultCloses:
		time.Sleep(crossingBound + 100*time.Millisecond)
		panic(http.ErrAbortHandler)
	case isDue && f.fault == faultSilent:
		<-r.Context().Done()
		return
	case isDue && f.fault == faultLate:
		time.Sleep(time.Until(deadline) + lateAnswerBound + 200*time.Millisecond)
	case f.fault == faultLeft:
		time.Sleep(leftGrace + 200*time.Millisecond)
	}
	upload, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.fault == faultBody && len(upload) > 0 {
		upload[len(upload)/2]++
	}
	class := r.Header.Get("X-Priority-Class")
	if class == classUnsafe && f.fault == faultUnsafeTwice || class == classKeyed && f.fault == faultTwice {
		_, _, _ = f.forward(r, upload, deadline)
	}
	status, body, err := f.forward(r, upload, deadline)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	if isDue && f.fault == faultForeign {
		body = "something else"
	}
	if isDue && (f.fault == faultCuts || f.fault == faultHolds) {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
	if isDue && f.fault == faultHolds {
		w.(http.Flusher).Flush()
		time.Sleep(time.Until(deadline) + lateAnswerBound + 200*time.Millisecond)
	}
}

// forward sends a request to an endpoint.
func (f *fakeSidecar) forward(r *http.Request, upload []byte, deadline time.Time) (status int, body string, err error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+f.pick().Address+r.URL.Path, bytes.NewReader(upload))
	if err != nil {
		return 0, "", err
	}
	left := time.Until(deadline)
	if f.fault == faultTime {
		left += time.Second
	}
	for _, name := range []string{"X-Request-Id", "X-Priority-Class"} {
		request.Header.Set(name, r.Header.Get(name))
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" && f.fault != faultUnsafeTwice {
		request.Header["Idempotency-Key"] = []string{key}
	}
	request.Header.Set("X-Timeout-Ms", fmt.Sprint(left.Milliseconds()))
	response, err := f.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
