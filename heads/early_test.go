package heads_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/heads"
	"filberttrack.example/track/stand/canned"
)

// uploadBytes is more than the kernel takes from a writer whose peer doesn't read.
const uploadBytes = 8 << 20

// startServer starts a server that reads the head of a request, sends the response and hands the connection to finish.
func startServer(t *testing.T, response string, finish func(conn *net.TCPConn, body io.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go canned.Serve(listener, func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, response); err == nil {
			finish(conn.(*net.TCPConn), request.Body)
		}
	})
	return "http://" + listener.Addr().String()
}

// A response without a length ends with its connection. If that ends before the request was written, or with an error, the
// response is not complete.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	const runs = 20
	for _, c := range []struct {
		name        string
		uploadBytes int
		// finish ends the response. ended gets a value when the client has its end.
		finish   func(conn *net.TCPConn, body io.Reader, ended <-chan struct{})
		complete bool
	}{
		{"request unread, reset", uploadBytes, func(conn *net.TCPConn, _ io.Reader, _ <-chan struct{}) { _ = conn.SetLinger(0) }, false},
		{"request unread, closed", uploadBytes, func(*net.TCPConn, io.Reader, <-chan struct{}) {}, false},
		{
			"request unread, half closed", uploadBytes, func(conn *net.TCPConn, _ io.Reader, ended <-chan struct{}) {
				_ = conn.CloseWrite()
				<-ended
			}, false,
		},
		{
			"request in the kernel, half closed", uploadBytes / 8, func(conn *net.TCPConn, _ io.Reader, ended <-chan struct{}) {
				_ = conn.CloseWrite()
				<-ended
			}, false,
		},
		{
			"request half read, closed", uploadBytes, func(_ *net.TCPConn, body io.Reader, _ <-chan struct{}) {
				_, _ = io.CopyN(io.Discard, body, uploadBytes/2)
			}, false,
		},
		{
			"request read, reset", uploadBytes, func(conn *net.TCPConn, body io.Reader, _ <-chan struct{}) {
				_, _ = io.Copy(io.Discard, body)
				_ = conn.SetLinger(0)
			}, false,
		},
		{
			"request read, closed", uploadBytes, func(_ *net.TCPConn, body io.Reader, _ <-chan struct{}) {
				_, _ = io.Copy(io.Discard, body)
			}, true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan struct{}, runs)
			address := startServer(t, "HTTP/1.1 200 OK\r\n\r\nbooked", func(conn *net.TCPConn, body io.Reader) {
				c.finish(conn, body, ended)
			})
			client := http.Client{Transport: heads.New(&http.Transport{DisableKeepAlives: true})}
			for range runs {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				body, err := upload(ctx, &client, address, c.uploadBytes)
				assert.NilError(t, ctx.Err())
				assert.Equal(t, err == nil, c.complete, "%q, %v", body, err)
				ended <- struct{}{}
				cancel()
			}
		})
	}
}

// An early response that came whole is complete, whatever becomes of the rest of its request.
func TestEarlyResponseThatIsWhole(t *testing.T) {
	const runs = 5
	for _, c := range []struct {
		name   string
		finish func(conn *net.TCPConn, ended <-chan struct{})
	}{
		{"reset", func(conn *net.TCPConn, _ <-chan struct{}) { _ = conn.SetLinger(0) }},
		{"closed", func(*net.TCPConn, <-chan struct{}) {}},
		{"half closed", func(conn *net.TCPConn, ended <-chan struct{}) {
			_ = conn.CloseWrite()
			<-ended
		}},
		{"open", func(_ *net.TCPConn, ended <-chan struct{}) { <-ended }},
	} {
		for _, keepAlive := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, keep-alive %t", c.name, keepAlive), func(t *testing.T) {
				ended := make(chan struct{}, runs)
				address := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbooked", func(conn *net.TCPConn, _ io.Reader) {
					c.finish(conn, ended)
				})
				client := http.Client{Transport: heads.New(&http.Transport{DisableKeepAlives: !keepAlive})}
				for range runs {
					body, err := upload(t.Context(), &client, address, uploadBytes)
					assert.NilError(t, err)
					assert.Equal(t, string(body), "booked")
					ended <- struct{}{}
				}
			})
		}
	}
}

// upload sends a request with a body of the given size and returns the body of the response.
func upload(ctx context.Context, client *http.Client, address string, size int) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(make([]byte, size)))
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

// Over TLS, the connection doesn't see requests, but it sees a write that failed.
func TestResponseThatIsResetOverTLS(t *testing.T) {
	const runs = 20
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, uploadBytes/8)
		hijacked, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		secured := hijacked.(*tls.Conn)
		defer secured.Close()
		_, _ = io.WriteString(secured, "HTTP/1.1 200 OK\r\n\r\nbooked")
		conn := secured.NetConn().(*net.TCPConn)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}))
	defer server.Close()
	for range runs {
		transport := server.Client().Transport.(*http.Transport).Clone()
		body, err := upload(t.Context(), &http.Client{Transport: heads.New(transport)}, server.URL, uploadBytes)
		assert.Assert(t, err != nil, "%q", body)
	}
}
