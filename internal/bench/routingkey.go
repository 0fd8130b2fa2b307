package bench

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/config"
)

// maxKeysTried bounds the number of keys that are tried for one class.
const maxKeysTried = 1000

// routingKey holds a routing key and the group that the key selects.
type routingKey struct{ key, group string }

// groupsOf returns the names of the groups of a class as one string. Classes with
// the same list of groups route a key to the same group.
func groupsOf(c *config.Class) string {
	names := make([]string, len(c.Groups))
	for i, g := range c.Groups {
		names[i] = string(g)
	}
	return strings.Join(names, ",")
}

// findRoutingKeys returns routing keys for each group that has a primary. The map
// key names the groups of a class, as groupsOf does. findRoutingKeys asks the host of
// cfg.HTTPAddress.
func findRoutingKeys(ctx context.Context, cfg *Config) (map[string][]routingKey, error) {
	status, err := cfg.client().Status(ctx)
	if err != nil {
		return nil, err
	}
	hasPrimary := map[string]bool{}
	for _, g := range status.Groups {
		hasPrimary[string(g.Group)] = g.Primary != ""
	}
	found := 0
	routingKeys := map[string][]routingKey{}
	for i := range cfg.Document.Classes {
		c := &cfg.Document.Classes[i]
		if _, ok := routingKeys[groupsOf(c)]; ok {
			continue
		}
		list, err := findClassRoutingKeys(ctx, cfg, c, hasPrimary)
		if err != nil {
			return nil, err
		}
		routingKeys[groupsOf(c)] = list
		found += len(list)
	}
	if found == 0 {
		return nil, errors.New("no group of the document has a primary")
	}
	return routingKeys, nil
}

// findClassRoutingKeys returns KeysPerGroup routing keys for each group of the class
// that has a primary.
func findClassRoutingKeys(ctx context.Context, cfg *Config, c *config.Class, hasPrimary map[string]bool) ([]routingKey, error) {
	wanted := 0
	for _, g := range c.Groups {
		if hasPrimary[string(g)] {
			wanted += cfg.KeysPerGroup
		}
	}
	client := cfg.client()
	found := map[string]int{}
	var list []routingKey
	for i := 0; len(list) < wanted; i++ {
		if i == maxKeysTried {
			return nil, fmt.Errorf("class %s: found %d of %d routing keys", c.Name, len(list), wanted)
		}
		key := fmt.Sprint("key-", i)
		explanation, err := client.Explain(ctx, api.ExplainQuery{Service: cfg.Document.Service, Class: c.Name, Key: key})
		if err != nil {
			return nil, err
		}
		group := string(explanation.Group)
		if hasPrimary[group] && found[group] < cfg.KeysPerGroup {
			found[group]++
			list = append(list, routingKey{key, group})
		}
	}
	return list, nil
}
