// Package compress compresses what many hosts receive over slow links.
package compress

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"
)

// MaxDecompressedBytes is the largest size of decompressed data.
const MaxDecompressedBytes = 64 << 20

// writers holds writers for reuse, because each has large buffers.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Pack returns the compressed data.
func Pack(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, _ := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Unpack returns the data that Pack compressed. It returns an error for malformed
// input and for data larger than MaxDecompressedBytes.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, MaxDecompressedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if len(data) > MaxDecompressedBytes {
		return nil, fmt.Errorf("compress: the data is larger than %d bytes", MaxDecompressedBytes)
	}
	return data, nil
}
