package bench

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/config"
)

// maxKeysTried bounds the search for routing keys of every group.
const maxKeysTried = 1000

// shard is a routing key and the group that it selects.
type shard struct{ key, group string }

// groupsOf names the list of groups of a class. Classes with the same list
// find the same key in the same group.
func groupsOf(c *config.Class) string {
	names := make([]string, len(c.Groups))
	for i, g := range c.Groups {
		names[i] = string(g)
	}
	return strings.Join(names, ",")
}

// findShards asks a host for keys of each group that has a primary.
func findShards(ctx context.Context, cfg *Config) (map[string][]shard, error) {
	st, err := cfg.client().Status(ctx)
	if err != nil {
		return nil, err
	}
	served := map[string]bool{}
	for _, g := range st.Groups {
		served[string(g.Group)] = g.Primary != ""
	}
	found := 0
	shards := map[string][]shard{}
	for i := range cfg.Document.Classes {
		c := &cfg.Document.Classes[i]
		if _, ok := shards[groupsOf(c)]; ok {
			continue
		}
		list, err := findKeys(ctx, cfg, c, served)
		if err != nil {
			return nil, err
		}
		shards[groupsOf(c)] = list
		found += len(list)
	}
	if found == 0 {
		return nil, errors.New("no group of the document has a primary")
	}
	return shards, nil
}

// findKeys finds the keys of the groups of one class.
func findKeys(ctx context.Context, cfg *Config, c *config.Class, served map[string]bool) ([]shard, error) {
	wanted := 0
	for _, g := range c.Groups {
		if served[string(g)] {
			wanted += cfg.KeysPerGroup
		}
	}
	client := cfg.client()
	found := map[string]int{}
	var list []shard
	for i := 0; len(list) < wanted; i++ {
		if i == maxKeysTried {
			return nil, fmt.Errorf("class %s: %d keys found of %d", c.Name, len(list), wanted)
		}
		key := fmt.Sprint("key-", i)
		x, err := client.Explain(ctx, api.ExplainQuery{Service: cfg.Document.Service, Class: c.Name, Key: key})
		if err != nil {
			return nil, err
		}
		group := string(x.Group)
		if served[group] && found[group] < cfg.KeysPerGroup {
			found[group]++
			list = append(list, shard{key, group})
		}
	}
	return list, nil
}
