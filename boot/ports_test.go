package boot

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/stand/canned"
)

// serveTwice answers each request of a connection twice. The second copy follows when the next request arrives, at the
// point where its answer is expected.
func serveTwice(conn net.Conn) {
	reader, previous := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
		if _, err := io.WriteString(conn, previous+answer); err != nil {
			return
		}
		previous = answer
	}
}

// A backend server that answers twice must not give the next caller the answer of the one before.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go canned.Serve(listener, serveTwice)
	client := newBackendClient()
	for i := range 20 {
		path := fmt.Sprintf("/bookings/%d", i)
		response, err := client.Get("http://" + listener.Addr().String() + path)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, string(body), path)
	}
}
