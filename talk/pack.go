package talk

import (
	"bytes"
	"compress/flate"
	"io"
	"net/http"
	"sync"
)

const (
	// minPacked is the size from which on a body is compressed: maps of experts shrink
	// to a third, and what crosses zones is dear.
	minPacked = 1 << 10
	// packedCoding names the compression of a body.
	packedCoding = "deflate"
)

// writers keeps compressors between bodies; one has half a megabyte of tables.
var writers = sync.Pool{New: func() any {
	// The level is valid.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Pack returns a body as it is sent: compressed, or as it is if that is no shorter.
func Pack(data []byte) []byte {
	if len(data) < minPacked {
		return data
	}
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	// A buffer takes whatever is written.
	_, _ = w.Write(data)
	_ = w.Close()
	if out.Len() >= len(data) {
		return data
	}
	return out.Bytes()
}

func setPacked(header http.Header, packed bool) {
	if packed {
		header.Set("Content-Encoding", packedCoding)
	}
}

// Unpack returns what was compressed by Pack.
func Unpack(packed io.Reader) io.Reader {
	return flate.NewReader(packed)
}

// bodyOf returns the body as it was before Pack.
func bodyOf(header http.Header, body io.Reader) io.Reader {
	if header.Get("Content-Encoding") == packedCoding {
		return Unpack(body)
	}
	return body
}
