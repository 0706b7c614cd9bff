package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// sendInterval is the time between two requests.
	sendInterval = 50 * time.Millisecond
	// requestBudget is the time budget of a request.
	requestBudget = 2500 * time.Millisecond
)

// sentRequest is a request as a client sent it.
type sentRequest struct {
	id, method, target, body string
	// key is the API key; empty for the usual one.
	key string
	// prompt is the value of X-Prompt-Prefix; empty for none.
	prompt string
}

// send sends the request over a new connection and returns the status of the answer, or why there was none.
func (r sentRequest) send(address string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	// An error shows when the answer is read.
	_ = conn.SetDeadline(time.Now().Add(requestBudget))
	prompt := ""
	if r.prompt != "" {
		prompt = "X-Prompt-Prefix: " + r.prompt + "\r\n"
	}
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%sContent-Length: %d\r\n\r\n%s",
		r.method, r.target, host, r.id, requestBudget.Milliseconds(), cmp.Or(r.key, apiKey), prompt, len(r.body), r.body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s, seal %q", response.Status, response.Header.Get("X-Replica-Seal"))
}
