package frontend_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/testkit/lbtest"
)

const (
	uploadTimeout  = time.Second // of a request, from its last byte
	bufferedBytes  = 64 << 10    // of an upload's body, which the server reads before it makes an attempt
	uploadPieces   = 40          // beyond the buffered bytes
	uploadPiece    = 4 << 10
	uploadedLength = bufferedBytes + uploadPieces*uploadPiece
)

// uploadHead returns the head of a request whose body is streamed, in chunked coding if isChunked is true.
func uploadHead(id string, isChunked bool) string {
	framing := fmt.Sprint("Content-Length: ", uploadedLength)
	if isChunked {
		framing = "Transfer-Encoding: chunked"
	}
	return lbtest.Head("POST", "write", id, "Idempotency-Key: k-"+id, fmt.Sprint("X-Timeout-Ms: ", uploadTimeout.Milliseconds()), framing)
}

// sendBody sends the body of an upload. It sends each piece after the buffered bytes once the endpoint has received what came before.
func sendBody(t *testing.T, client *lbtest.Client, isChunked bool, received <-chan struct{}) {
	t.Helper()
	body := &pattern{size: uploadedLength}
	send := func(size int) {
		text := make([]byte, size)
		n, _ := body.Read(text)
		if isChunked {
			fmt.Fprintf(client, "%x\r\n%s\r\n", n, text)
			return
		}
		client.Send(string(text))
	}
	send(bufferedBytes)
	if isChunked { // a body of unknown length is streamed once it exceeds the buffer
		send(1)
	}
	for body.offset < body.size {
		select {
		case <-received:
		case <-time.After(lbtest.Wait):
			t.Fatalf("the endpoint does not receive the first %d bytes of the body", body.offset)
		}
		send(min(uploadPiece, body.size-body.offset))
	}
	if isChunked {
		client.Send("0\r\n\r\n")
	}
}

// receiveBody receives the body of an upload and reports each piece. It returns an error unless the body is the one that was sent. onPiece
// is called before a piece is reported.
func receiveBody(r *http.Request, received chan<- struct{}, onPiece func(number int)) error {
	body := make([]byte, uploadedLength)
	for number, total := 0, 0; total < len(body); number++ {
		size := uploadPiece
		if number == 0 {
			size = bufferedBytes
		}
		n, err := io.ReadFull(r.Body, body[total:total+size])
		if total += n; err != nil {
			return fmt.Errorf("after %d bytes of the body: %w", total, err)
		}
		onPiece(number)
		received <- struct{}{}
	}
	if n, err := io.Copy(io.Discard, r.Body); n != 0 || err != nil { // a chunked body ends after its last data
		return fmt.Errorf("%d bytes behind the body: %w", n, err)
	}
	return checkPattern(bytes.NewReader(body), len(body))
}

// An upload is never answered when its endpoint sends an informational response while the body is on its way.
func TestInformationalResponseDoesNotStopUpload(t *testing.T) {
	t.Parallel()
	const continues, hints = "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for name, c := range map[string]struct {
		pieces    []string // of informational responses, by the piece of the body before which the endpoint writes them
		isChunked bool
		count     int64
	}{
		"100 Continue":                      {pieces: []string{continues}, count: 1},
		"100 Continue, to a chunked body":   {pieces: []string{continues}, isChunked: true, count: 1},
		"several":                           {pieces: []string{continues + hints, hints, "", hints}, count: 4},
		"with a head in pieces":             {pieces: []string{"H", "TTP/1.1 100 Con", "tinue\r", "\n\r\n"}, count: 1},
		"beside the last bytes of the body": {pieces: append(make([]string, uploadPieces), continues), count: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan struct{}, uploadPieces+1)
			endpoint := startRawEndpoint(t, func(conn net.Conn, r *http.Request) {
				err := receiveBody(r, received, func(number int) {
					if number < len(c.pieces) {
						io.WriteString(conn, c.pieces[number])
					}
				})
				if err != nil {
					t.Errorf("upload at the endpoint: %v", err)
					return
				}
				io.WriteString(conn, lbtest.OK("whole"))
			})
			var informational, early atomic.Int64
			_, address := startServerWith(t, endpoint, 8, upstream.Options{
				OnInformational: func() { informational.Add(1) },
				OnEarlyResponse: func() { early.Add(1) },
			})
			client := lbtest.Dial(t, address)
			client.Send(uploadHead("informed", c.isChunked))
			sendBody(t, client, c.isChunked, received)
			client.SetReadDeadline(time.Now().Add(uploadTimeout + lateResponseBound))
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("response %v, error %v", response, err)
			}
			if informational.Load() != c.count || early.Load() != 0 {
				t.Errorf("%d informational and %d early responses, want %d and none", informational.Load(), early.Load(), c.count)
			}
		})
	}
}

// An upload has no deadline when its endpoint sends an informational response while the body is on its way, and no final one.
func TestUploadWithoutFinalResponseEndsInTime(t *testing.T) {
	t.Parallel()
	received := make(chan struct{}, uploadPieces+1)
	_, address := startServer(t, startRawEndpoint(t, func(conn net.Conn, r *http.Request) {
		io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		if err := receiveBody(r, received, func(int) {}); err != nil {
			t.Errorf("upload at the endpoint: %v", err)
		}
		io.Copy(io.Discard, conn)
	}), 8)
	client := lbtest.Dial(t, address)
	client.Send(uploadHead("hanging", false))
	sendBody(t, client, false, received)
	client.SetReadDeadline(time.Now().Add(uploadTimeout + lateResponseBound))
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || response.StatusCode != http.StatusBadGateway {
		t.Errorf("response %v, error %v; want 502 in time", response, err)
	}
}

// An upload whose rest is not read yet waits for a connection beyond its deadline, though its client may have written it whole.
func TestUploadWithoutConnectionIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	_, address := startServerWith(t, "127.0.0.1:1", 8, upstream.Options{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done() // after the dial's own timeout, which is longer
		return nil, ctx.Err()
	}})
	client := lbtest.Dial(t, address)
	client.Send(uploadHead("waiting", false) + strings.Repeat("x", uploadedLength))
	client.SetReadDeadline(time.Now().Add(uploadTimeout + lateResponseBound))
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("response %v, error %v; want 503 in time, as nothing was sent", response, err)
	}
}
