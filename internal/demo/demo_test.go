package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// The demo starts, serves what it tells to try, drains a nodo, and ends cleanly when it is told to.
func TestDemo(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	out := &lbtest.Log{}
	ended := make(chan error, 1)
	go func() {
		ended <- Run(ctx, Options{Listen: "127.0.0.1:0", DrainAfter: 50 * time.Millisecond, Out: out, Log: slog.New(slog.DiscardHandler)})
	}()
	front := regexp.MustCompile(`front +(http://\S+)`)
	lbtest.Until(t, "a front", func() bool { return front.MatchString(out.String()) })
	url := front.FindStringSubmatch(out.String())[1]
	client := &http.Client{Timeout: lbtest.Wait, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer client.CloseIdleConnections()
	for _, c := range []struct {
		method, path string
		header       string
		status       int
		holds        string
	}{
		{"GET", "/consulta/seats", "", 200, `"sala":"sala-`}, {"POST", "/reserva/seat-7", "Idempotency-Key: k1", 200, `"nodo":"`},
		{"GET", "/consulta/seats", "X-Sala: sur", 200, `"sala":"sala-sur"`}, {"GET", "/old", "", 302, ""},
		{"GET", "/consulta/..%2fadmin", "", 400, ""}, {"GET", "/nowhere", "", 404, ""}, {"GET", "/consulta/hurry", "X-Timeout-Ms: 1", 503, ""},
	} {
		r, err := http.NewRequestWithContext(ctx, c.method, url+c.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		if name, value, told := strings.Cut(c.header, ": "); told {
			r.Header.Set(name, value)
		}
		resp, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != c.status || !strings.Contains(string(body), c.holds) {
			t.Errorf("%s %s %s: %d %s, %v", c.method, c.path, c.header, resp.StatusCode, body, err)
		}
	}
	lbtest.Until(t, "a drain", func() bool { return strings.Contains(out.String(), "sur-1 is told to drain") })
	client.CloseIdleConnections()
	cancel()
	select {
	case err := <-ended:
		if err != nil || !strings.Contains(out.String(), "ended") {
			t.Errorf("%v: %s", err, out)
		}
	case <-time.After(lbtest.Wait):
		t.Fatal("did not end")
	}
}

// The demo of linked salas: what the first one's callers ask is served when its nodos have gone, keys and all, and it ends
// cleanly.
func TestSalas(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	out := &lbtest.Log{}
	ended := make(chan error, 1)
	go func() {
		ended <- RunSites(ctx, Options{Listen: "127.0.0.1:0", DrainAfter: 500 * time.Millisecond, Out: out, Log: slog.New(slog.DiscardHandler)})
	}()
	front := regexp.MustCompile(`sala-centro +(http://\S+)`)
	lbtest.Until(t, "a front", func() bool { return front.MatchString(out.String()) })
	url := front.FindStringSubmatch(out.String())[1]
	client := &http.Client{Timeout: lbtest.Wait}
	defer client.CloseIdleConnections()
	served := func(key string) (sala string) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/reserva/seat-7", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Idempotency-Key", key)
		a, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		text, err := io.ReadAll(a.Body)
		if err != nil {
			t.Fatal(err)
		}
		if a.StatusCode != http.StatusOK {
			return ""
		}
		_, sala, _ = strings.Cut(string(text), `"sala":"`)
		sala, _, _ = strings.Cut(sala, `"`)
		return sala
	}
	lbtest.Until(t, "the voters agree", func() bool { return served("first") != "" })
	lbtest.Until(t, "the nodos have gone", func() bool { return strings.Contains(out.String(), "has lost its nodos") })
	away, key := "", ""
	for n := 0; away == "" || away == "sala-centro"; n++ { // what is still served at home is held there
		key = fmt.Sprint("k", n)
		away = served(key)
		if n > 2000 {
			t.Fatal("no other sala serves")
		}
	}
	lbtest.Until(t, "the nodos are back", func() bool { return strings.Contains(out.String(), "has its nodos back") })
	if sala := served(key); sala != away {
		t.Errorf("a key of %s at %q", away, sala)
	}
	cancel()
	if err := <-ended; err != nil || !strings.Contains(out.String(), "ended") {
		t.Errorf("%v", err)
	}
}
