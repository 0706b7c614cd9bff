package talk

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"net/http"
	"sync"
)

const (
	// minCompressBytes is the size from which a body is compressed. Expert maps shrink to
	// a third, and traffic between zones is expensive.
	minCompressBytes = 1 << 10
	// compressedEncoding is the Content-Encoding of a compressed body.
	compressedEncoding = "deflate"
)

// compressors reuses compressors between bodies, since each holds half a megabyte of
// tables.
var compressors = sync.Pool{New: func() any {
	// NewWriter fails only for an invalid level.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Compress compresses a body. It returns the body unchanged if it has less than 1 KiB or if
// compression doesn't make it shorter.
func Compress(data []byte) []byte {
	if len(data) < minCompressBytes {
		return data
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	// Writing to a bytes.Buffer never fails.
	_, _ = w.Write(data)
	_ = w.Close()
	if out.Len() >= len(data) {
		return data
	}
	return out.Bytes()
}

// decompressors reuses decompressors, each of which holds the window of the last 32 KiB.
var decompressors sync.Pool

// pooledReader returns its decompressor to the pool at the end of the data.
type pooledReader struct {
	decompressor io.ReadCloser
	done         bool
}

// Read implements io.Reader.
func (r *pooledReader) Read(p []byte) (int, error) {
	if r.done {
		return 0, io.EOF
	}
	n, err := r.decompressor.Read(p)
	if errors.Is(err, io.EOF) {
		r.done = true
		decompressors.Put(r.decompressor)
	}
	return n, err
}

// setContentEncoding marks a compressed body in the header.
func setContentEncoding(header http.Header, compressed bool) {
	if compressed {
		header.Set("Content-Encoding", compressedEncoding)
	}
}

// Decompress returns a reader that decompresses what Compress has compressed.
func Decompress(compressed io.Reader) io.Reader {
	if d, ok := decompressors.Get().(io.ReadCloser); ok {
		// Reset fails only for a dictionary.
		_ = d.(flate.Resetter).Reset(compressed, nil)
		return &pooledReader{decompressor: d}
	}
	return &pooledReader{decompressor: flate.NewReader(compressed)}
}

// decompressBody returns a reader of the body, decompressed if the header says that it is
// compressed.
func decompressBody(header http.Header, body io.Reader) io.Reader {
	if header.Get("Content-Encoding") == compressedEncoding {
		return Decompress(body)
	}
	return body
}
