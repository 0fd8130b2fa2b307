package cli

import (
	"fmt"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// switchOverCommand begins a planned change of primary.
type switchOverCommand struct {
	Group string `arg:"" help:"The group whose primary shall change."`
	To    string `help:"The instance to promote. The system chooses one where none is named."`
	hostFlags
	outputFlag
}

// Run asks the host to begin the change.
func (c *switchOverCommand) Run(env *environment) error {
	s := api.SwitchOver{Group: table.GroupName(c.Group), To: table.InstanceID(c.To)}
	client, err := c.client()
	if err != nil {
		return err
	}
	reply, err := client.SwitchOver(env.ctx, s)
	if err != nil {
		return c.failed(env, err)
	}
	return c.print(env.out, reply, func() {
		fmt.Fprintf(env.out, "%s: the change of primary has begun, see status\n", c.Group)
	})
}
