package canned

import (
	"fmt"
	"slices"
	"strings"
)

// Flaw is a way in which the head of a response is not valid HTTP.
type Flaw struct {
	// Name describes the flaw.
	Name string
	// StatusLine takes the place of a sound status line; empty if the flaw isn't there.
	StatusLine string
	// Field is added to the header, before all sound fields; empty if the flaw isn't there.
	Field string
	// Unframed leaves out the field Content-Length.
	Unframed bool
	// Chunked sends the body in a chunk. The field Transfer-Encoding is not added.
	Chunked bool
}

// Response returns a response that is sound but for the flaw. The fields are lines of the header without their ends.
func (f Flaw) Response(body string, fields ...string) Response {
	statusLine := "HTTP/1.1 200 OK"
	if f.StatusLine != "" {
		statusLine = f.StatusLine
	}
	lines := []string{statusLine}
	if f.Field != "" {
		lines = append(lines, f.Field)
	}
	lines = append(lines, fields...)
	if !f.Unframed {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	if f.Chunked {
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return Response{Head: strings.Join(lines, "\r\n") + "\r\n\r\n", Body: body}
}

// Sound returns a response without a flaw.
func Sound(body string, fields ...string) Response {
	return Flaw{}.Response(body, fields...)
}

// InvalidHeads returns the flaws that the client of net/http accepts.
func InvalidHeads() []Flaw {
	return slices.Concat(statusLines(
		"HTTP/1.1 000 Unknown", "HTTP/1.1 001 Unknown", "HTTP/1.1 099 Unknown", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 600 Unknown", "HTTP/1.1 999 Unknown", "HTTP/1.1 -00 Unknown", "HTTP/1.1 +20 Unknown",
	), fields(
		"X Note: a", "X-Note : a", "Content-Length : 3", "Transfer-Encoding : chunked",
	), []Flaw{
		{Name: "length with a blank, unframed", Field: "Content-Length : 3", Unframed: true},
		{Name: "chunks with a blank, unframed", Field: "Transfer-Encoding : chunked", Unframed: true},
		{Name: "chunks in HTTP/1.0", StatusLine: "HTTP/1.0 200 OK", Field: "Transfer-Encoding: chunked", Unframed: true, Chunked: true},
		{Name: "chunks and length in HTTP/1.0", StatusLine: "HTTP/1.0 200 OK", Field: "Transfer-Encoding: chunked"},
		{Name: "chunks and length", Field: "transfer-encoding: chunked", Chunked: true},
		{Name: "HTTP/2.0", StatusLine: "HTTP/2.0 200 OK"},
		{Name: "HTTP/0.9", StatusLine: "HTTP/0.9 200 OK"},
	})
}

// MalformedHeads returns flaws that the client of net/http refuses.
func MalformedHeads() []Flaw {
	return slices.Concat(statusLines(
		"HTTP/1.1 -20 Unknown", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 200\x01OK", "HTTP/1.1",
	), fields(
		"X\x01Note: a", "X-Note\x00: a", "X-Note\x7f: a", "X-Note\t: a", "X\rNote: a", " X-Note: a", ": a", "X-Note",
		"X-Note: a\x00b", "X-Note: a\x01b", "X-Note: a\rb", "X-Note: a\x7f",
		"Content-Length: 3", "Content-Length: -1", "Content-Length: 0x6", "Transfer-Encoding: gzip",
	))
}

// BrokenHeads returns the flaws of InvalidHeads and MalformedHeads.
func BrokenHeads() []Flaw {
	return slices.Concat(InvalidHeads(), MalformedHeads())
}

func fields(lines ...string) []Flaw {
	flaws := make([]Flaw, len(lines))
	for i, line := range lines {
		flaws[i] = Flaw{Name: fmt.Sprintf("%q", line), Field: line}
	}
	return flaws
}

func statusLines(lines ...string) []Flaw {
	flaws := make([]Flaw, len(lines))
	for i, line := range lines {
		flaws[i] = Flaw{Name: fmt.Sprintf("%q", line), StatusLine: line}
	}
	return flaws
}
