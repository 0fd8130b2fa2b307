package control

import (
	"encoding/json"
	"fmt"

	"github.com/amaranthweir/amaranthweir/internal/compress"
)

const (
	// minCompressBytes is the size of the smallest body that is compressed. Every
	// host receives the deployment, many over links of a few Mbit/s.
	minCompressBytes = 2 << 10
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
	compressed, err := compress.Pack(d.Body)
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
	body, err := compress.Unpack(e.Gzip)
	if err != nil {
		return fmt.Errorf("control: the deployment: %w", err)
	}
	d.Body = body
	return nil
}
