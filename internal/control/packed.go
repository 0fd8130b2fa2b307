package control

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

const (
	// packFrom is the size from which a deployment is packed, in bytes: it goes
	// to every host, many of which have links of a few Mbit/s.
	packFrom = 2 << 10
	// maxUnpacked bounds a deployment that arrives packed, in bytes.
	maxUnpacked = 64 << 20
)

// encodedDeployment is the JSON form of a Deployment: with its body as it is, or
// packed.
type encodedDeployment struct {
	Version uint64
	Body    []byte `json:",omitempty"`
	Gzip    []byte `json:",omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (d Deployment) MarshalJSON() ([]byte, error) {
	if len(d.Body) < packFrom {
		return json.Marshal(encodedDeployment{Version: d.Version, Body: d.Body})
	}
	packed, err := pack(d.Body)
	if err != nil {
		return nil, err
	}
	return json.Marshal(encodedDeployment{Version: d.Version, Gzip: packed})
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
	body, err := unpack(e.Gzip)
	d.Body = body
	return err
}

func pack(body []byte) ([]byte, error) {
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

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("control: the packed deployment cannot be read: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, fmt.Errorf("control: the packed deployment cannot be read: %w", err)
	}
	if len(body) > maxUnpacked {
		return nil, fmt.Errorf("control: the packed deployment is larger than %d bytes", maxUnpacked)
	}
	return body, nil
}
