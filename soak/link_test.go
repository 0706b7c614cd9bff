package main

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/stand/canned"
)

// Guards against a link that turns the reset of an answer into its regular end: with seed 403, a client got half of an
// answer without length that looked whole.
func TestLinkPassesResetsOn(t *testing.T) {
	link, err := NewLink()
	assert.NilError(t, err)
	defer link.Close()
	received := make(chan struct{})
	link.SetHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
		_ = buffered.Flush()
		<-received
		canned.SetReset(conn)
		_ = conn.Close()
	}))
	response, err := http.Get("http://" + link.Address())
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, len("half")))
	assert.NilError(t, err)
	close(received)
	_, err = io.ReadAll(response.Body)
	assert.Assert(t, err != nil, "the answer looks whole")
}
