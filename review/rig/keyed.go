package rig

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	slowPart  = 6400 // bytes in slowPause, which is 64 kB a second
	slowPause = 100 * time.Millisecond

	keyedDeadline = 5 * time.Second
	keyedWindow   = 7500 * time.Millisecond
	retryWait     = 500 * time.Millisecond // of a client before its next try
)

// KeyedUploads are clients that each send one keyed request with a long body, and repeat it once with the same key where it has failed.
type KeyedUploads struct {
	Clients   int
	BodyParts int                // of slowPart bytes
	IsSlow    func(try int) bool // whether a try is written at 64 kB a second; at full speed otherwise
	Loses     func(run int) bool // see NewNodos
}

// Run starts a sidecar before two nodos in each of three salas, lets the clients send, and checks that each key has run once.
func (k KeyedUploads) Run(c *Case) error {
	salas := []string{"sala-centro", "sala-norte", "sala-sur"}
	nodos, err := c.NewNodos(salas, 2, keyedWindow, k.Loses)
	if err != nil {
		return err
	}
	listen, err := c.StartSidecar(salas, nodos.Endpoints,
		Class{Name: "reserva", Effect: "guarded", Deadline: keyedDeadline.Seconds(), Aim: 2, Worth: 10, Scope: "zone", Window: keyedWindow.Seconds()})
	if err != nil {
		return err
	}
	var done sync.WaitGroup
	for i := range k.Clients {
		done.Go(func() { k.client(c, listen, fmt.Sprintf("key%d", i)) })
	}
	done.Wait()
	return nodos.CheckKeys(k.Clients)
}

// client sends a request, and once more where the answer is a failure or a refusal.
func (k KeyedUploads) client(c *Case, listen, key string) {
	for try := range 2 {
		id := fmt.Sprintf("%s-try%d", key, try+1)
		fields := []string{"X-Priority-Class: reserva", "X-Tenant-Id: colegio-san-lucas", "X-Timeout-Ms: 5000", "Idempotency-Key: " + key,
			fmt.Sprintf("Content-Length: %d", k.BodyParts*slowPart)}
		pause := time.Duration(0)
		if k.IsSlow(try) {
			pause = slowPause
		}
		if try > 0 {
			fields = append(fields, "X-Retried: 1")
		}
		parts := []string{Head("POST", "/reserva/seat-"+key, id, fields...)}
		for range k.BodyParts {
			parts = append(parts, strings.Repeat("x", slowPart))
		}
		if c.Send(listen, id, keyedDeadline+time.Second, pause, parts...).Status == http.StatusOK {
			return
		}
		time.Sleep(retryWait)
	}
}

// StartSidecar starts a sidecar by the command of the deploy file, with a discovery that lists the endpoints, and returns its address once it
// is ready.
func (c *Case) StartSidecar(zones []string, endpoints []Endpoint, classes ...Class) (listen string, err error) {
	discovery, err := c.NewDiscovery(endpoints...)
	if err != nil {
		return "", err
	}
	listen = c.FreeAddress()
	c.Release()
	text, err := SidecarConfig(listen, discovery.Address, "", zones, classes...)
	if err != nil {
		return "", err
	}
	file, err := c.Write("config.json", text)
	if err != nil {
		return "", err
	}
	if _, err := c.Start("sidecar", "exec bin/sidecar", "LB_CONFIG="+file, "LB_NAME=n0", "LB_LISTEN="+listen, "LB_DISCOVERY="+discovery.Address); err != nil {
		return "", err
	}
	return listen, Await("the sidecar is ready", 10*time.Second, func() bool { return IsReady(listen) })
}
