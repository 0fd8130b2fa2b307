package api

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// PathSwitchOver takes planned changes of primary.
const PathSwitchOver = "/v1/switchover"

// maxSwitchOverBytes bounds the body of a SwitchOver.
const maxSwitchOverBytes = 4 << 10

// SwitchOver asks for a planned change of the primary of a group.
type SwitchOver struct {
	Group table.GroupName `json:"group"`
	// To is the instance to promote; empty leaves the choice to the system.
	To table.InstanceID `json:"to,omitempty"`
}

// SwitchOverReply says that the change has begun; status tells how it goes on.
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

// SwitchOver asks for a planned change of primary.
func (c *Client) SwitchOver(ctx context.Context, s SwitchOver) (SwitchOverReply, error) {
	var reply SwitchOverReply
	body, err := json.Marshal(s)
	if err != nil {
		return reply, err
	}
	err = c.call(ctx, http.MethodPost, PathSwitchOver, body, &reply)
	return reply, err
}
