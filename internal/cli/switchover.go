package cli

import (
	"fmt"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// switchOverCommand starts a planned change of the primary of a group.
type switchOverCommand struct {
	Group string `arg:"" help:"The group whose primary shall change."`
	To    string `help:"The instance to promote. The system chooses one where none is named."`
	hostFlags
	outputFlag
}

// Run requests the change from the host. It does not wait for the change to
// complete.
func (c *switchOverCommand) Run(env *environment) error {
	s := api.SwitchOver{Group: table.GroupName(c.Group), To: table.InstanceID(c.To)}
	client, err := c.client()
	if err != nil {
		return err
	}
	reply, err := client.SwitchOver(env.ctx, s)
	if err != nil {
		return c.printRemoteError(env, err)
	}
	return c.print(env.out, reply, func() {
		fmt.Fprintf(env.out, "%s: the change of primary has begun, see status\n", c.Group)
	})
}
