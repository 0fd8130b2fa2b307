package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
)

const (
	// announceTimeout bounds the request of one announcement.
	announceTimeout = time.Second
	// announceRetry is the wait after a failed announcement.
	announceRetry = 50 * time.Millisecond
	// minAnnounceInterval is the lower bound of the interval that the reply to an
	// announcement requests.
	minAnnounceInterval = 10 * time.Millisecond
)

// announce announces the instance to the configured hosts in turn, until the
// instance is closed. The reply of a host sets the wait before the next announcement.
func (in *Instance) announce() {
	for i := 0; len(in.cfg.Hosts) > 0 && in.ctx.Err() == nil; i++ {
		host := in.cfg.Hosts[i%len(in.cfg.Hosts)]
		interval, err := in.announceTo(host)
		if err != nil {
			interval = announceRetry
		}
		timer := time.NewTimer(interval)
		select {
		case <-in.wake:
		case <-timer.C:
		case <-in.ctx.Done():
		}
		timer.Stop()
	}
}

// announceTo sends one announcement and returns the wait before the next one.
func (in *Instance) announceTo(host string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(in.ctx, announceTimeout)
	defer cancel()
	if err := in.faults.waitUnblocked(ctx, host); err != nil {
		return 0, err
	}
	body, err := json.Marshal(in.announcement())
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := in.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("announcement to %s refused: %s", host, resp.Status)
	}
	var reply dbedge.AnnounceReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return 0, err
	}
	interval := time.Duration(reply.IntervalMillis) * time.Millisecond
	return max(interval, minAnnounceInterval), nil
}

func (in *Instance) announcement() dbedge.Announcement {
	st := in.store.state()
	return dbedge.Announcement{
		Group:       in.cfg.Group,
		Instance:    in.cfg.Instance,
		Address:     in.Address(),
		Domain:      in.cfg.Domain,
		Role:        st.role().String(),
		Term:        st.Mark.Term,
		Position:    st.Mark.Position,
		Slots:       in.cfg.Slots,
		Connections: in.cfg.Connections,
		Leaving:     in.leaving.Load(),
	}
}
