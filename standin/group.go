package standin

import "errors"

// StartGroup starts one instance for each Config and makes the instances peers
// of each other, whatever Peers the configs have. Close them one by one or with
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
		var peers []string
		for j, address := range addresses {
			if j != i {
				peers = append(peers, address)
			}
		}
		in.SetPeers(peers...)
	}
	return group, nil
}

// CloseGroup closes all instances and joins their errors.
func CloseGroup(group []*Instance) error {
	var err error
	for _, in := range group {
		err = errors.Join(err, in.Close())
	}
	return err
}
