package lbtest

import (
	"net"
	"net/http"
	"testing"
)

// What the tests of other packages rest on: an endpoint hands over whole requests, and a client reads whole answers.
func TestEndpointAndClient(t *testing.T) {
	e := NewEndpoint(t, nil)
	c := Dial(t, e.Addr)
	c.Send(Post("one", "body") + Get("two"))
	for _, id := range []string{"one", "two"} {
		a := <-e.Arrivals
		if a.Request.Header.Get("X-Request-Id") != id || (a.Body == "body") != (id == "one") {
			t.Errorf("%s came as %v %q", id, a.Request.Header, a.Body)
		}
		a.OK()
		if status, body := c.Response(); status != 200 || body != "answer to "+id {
			t.Errorf("%d %q", status, body)
		}
	}
	if c := TryDial("127.0.0.1:1"); c != nil {
		t.Error("somebody listens on port 1")
	}
}

// A discovery tells its whole list, and holds a call for the version that it has until that changes.
func TestDiscovery(t *testing.T) {
	d := NewDiscovery(t, 3, "127.0.0.1:1")
	for _, query := range []string{"", "?index=2"} {
		resp, err := http.Get("http://" + d.Addr + "/registry/instances" + query)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	asked := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + d.Addr + "/registry/instances?index=3")
		if err == nil {
			resp.Body.Close()
		}
		asked <- err
	}()
	d.Set("127.0.0.1:2")
	if err := <-asked; err != nil {
		t.Error(err)
	}
}

// A connection is established on either side until its peer closes it, and not on the listener that shares its address.
func TestIsEstablished(t *testing.T) {
	address := ReserveAddress(t)
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	here, there := c.LocalAddr(), c.RemoteAddr()
	if !IsEstablished(here, there) {
		t.Error("not established here")
	}
	Until(t, "it is established there", func() bool { return IsEstablished(there, here) })
	c.Close()
	Until(t, "it is not established there", func() bool { return !IsEstablished(there, here) })
}
