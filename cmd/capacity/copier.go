package main

import (
	"net/http"
)

// copyBufferBytes is the size of the read buffer of a copyProxy.
const copyBufferBytes = 4 << 10

// copyProxy forwards requests and copies the responses, flushing after each read. Its cost is the
// minimum that one HTTP hop adds, as a baseline for the entry and agent hops.
type copyProxy struct {
	client *http.Client
	// baseURL is the URL of the engine.
	baseURL string
}

// ServeHTTP implements http.Handler.
func (c *copyProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, c.baseURL+r.URL.Path, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	req.Header = r.Header.Clone()
	resp, err := c.client.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	flusher := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
	}
}
