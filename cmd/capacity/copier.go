package main

import (
	"net/http"
)

// copyBufferBytes is the size of one read of a copier.
const copyBufferBytes = 4 << 10

// copier hands requests on and copies the answers, flushing each read. It is the
// least that one HTTP hop costs, for comparison.
type copier struct {
	client *http.Client
	base   string
}

// ServeHTTP implements http.Handler.
func (c *copier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, c.base+r.URL.Path, r.Body)
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
