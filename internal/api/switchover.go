package api

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// PathSwitchOver is the path for planned changes of primary.
const PathSwitchOver = "/v1/switchover"

// maxSwitchOverBytes is the maximum body size of a switchover request.
const maxSwitchOverBytes = 4 << 10

// SwitchOver requests a planned change of the primary of a group.
type SwitchOver struct {
	Group table.GroupName `json:"group"`
	// To is the instance to promote. If it is empty, the system chooses one.
	To table.InstanceID `json:"to,omitempty"`
}

// SwitchOverReply confirms that the change has begun. Its progress is part of
// the status.
type SwitchOverReply struct {
	Begun bool `json:"begun"`
}

func (h *handler) switchOver(w http.ResponseWriter, r *http.Request) (any, error) {
	body, err := readBody(w, r, maxSwitchOverBytes)
	if err != nil {
		return nil, err
	}
	var s SwitchOver
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "%v", err)
	}
	if s.Group == "" {
		return nil, errkind.New(errkind.BadRequest, "group: missing")
	}
	return SwitchOverReply{Begun: true}, h.backend.SwitchOver(r.Context(), s)
}

// SwitchOver requests a planned change of the primary of a group. It does not
// wait for the change to complete.
func (c *Client) SwitchOver(ctx context.Context, s SwitchOver) (SwitchOverReply, error) {
	var reply SwitchOverReply
	body, err := json.Marshal(s)
	if err != nil {
		return reply, err
	}
	err = c.call(ctx, http.MethodPost, PathSwitchOver, body, &reply)
	return reply, err
}
