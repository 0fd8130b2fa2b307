package control

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

const (
	// minCompressBytes is the size of the smallest body that is compressed. Every
	// host receives the deployment, many over links of a few Mbit/s.
	minCompressBytes = 2 << 10
	// maxDecompressedBytes is the largest size of a decompressed body.
	maxDecompressedBytes = 64 << 20
)

// encodedDeployment is the JSON form of a Deployment. At most one of Body and
// Gzip is set: the body as it is, or compressed.
type encodedDeployment struct {
	Version uint64
	Body    []byte `json:",omitempty"`
	Gzip    []byte `json:",omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (d Deployment) MarshalJSON() ([]byte, error) {
	if len(d.Body) < minCompressBytes {
		return json.Marshal(encodedDeployment{Version: d.Version, Body: d.Body})
	}
	compressed, err := compress(d.Body)
	if err != nil {
		return nil, err
	}
	return json.Marshal(encodedDeployment{Version: d.Version, Gzip: compressed})
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Deployment) UnmarshalJSON(src []byte) error {
	var e encodedDeployment
	if err := json.Unmarshal(src, &e); err != nil {
		return err
	}
	*d = Deployment{Version: e.Version, Body: e.Body}
	if e.Gzip == nil {
		return nil
	}
	body, err := decompress(e.Gzip)
	d.Body = body
	return err
}

func compress(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("control: cannot decompress the deployment: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("control: cannot decompress the deployment: %w", err)
	}
	if len(body) > maxDecompressedBytes {
		return nil, fmt.Errorf("control: the decompressed deployment is larger than %d bytes", maxDecompressedBytes)
	}
	return body, nil
}
