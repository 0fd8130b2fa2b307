package standin

import "errors"

// StartGroup starts one instance for each Config as the fellows of one group.
// The configs need no Peers. Close the instances one by one, or with
// CloseGroup.
func StartGroup(configs ...Config) ([]*Instance, error) {
	var group []*Instance
	var addresses []string
	for _, cfg := range configs {
		in, err := Start(cfg)
		if err != nil {
			return nil, errors.Join(err, CloseGroup(group))
		}
		group = append(group, in)
		addresses = append(addresses, in.ControlAddress())
	}
	for i, in := range group {
		var fellows []string
		for j, address := range addresses {
			if j != i {
				fellows = append(fellows, address)
			}
		}
		in.SetPeers(fellows...)
	}
	return group, nil
}

// CloseGroup closes all instances.
func CloseGroup(group []*Instance) error {
	var err error
	for _, in := range group {
		err = errors.Join(err, in.Close())
	}
	return err
}
