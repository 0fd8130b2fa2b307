package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/standin"
)

const insertX = "INSERT INTO k (key, value) VALUES ('x', '1')"

// startGroup starts a group of three and waits until its replicas follow term 1.
func startGroup(t *testing.T) []*standin.Instance {
	t.Helper()
	var configs []standin.Config
	for i, id := range []table.InstanceID{"a", "b", "c"} {
		cfg := standin.DefaultConfig("g1", id)
		cfg.OpenCost, cfg.Primary = 0, i == 0
		configs = append(configs, cfg)
	}
	group, err := standin.StartGroup(configs...)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, standin.CloseGroup(group)) })
	waitForMark(t, group, table.Mark{Term: 1})
	return group
}

func waitForMark(t *testing.T, group []*standin.Instance, mark table.Mark) {
	t.Helper()
	for _, in := range group {
		waitFor(t, func() bool { return in.Mark() == mark })
	}
}

func TestReplicasFollowNewPrimary(t *testing.T) {
	group := startGroup(t)
	exec(t, dial(t, group[0], ""), insertX)
	waitForMark(t, group, table.Mark{Term: 1, Position: 1})

	group[0].Cut(group[1].ControlAddress(), group[2].ControlAddress())
	exec(t, dial(t, group[0], ""), "INSERT INTO k (key, value) VALUES ('lost', '1')")
	assert.NilError(t, group[1].Promote(2))
	exec(t, dial(t, group[1], ""), "INSERT INTO k (key, value) VALUES ('kept', '1')")
	waitForMark(t, group[1:], table.Mark{Term: 2, Position: 2})
	assert.Equal(t, group[0].Role(), table.RolePrimary, "the old primary does not know the new term yet")

	group[0].Heal()
	waitForMark(t, group, table.Mark{Term: 2, Position: 2})
	assert.DeepEqual(t, group[0].Rows("k"), map[string]string{"x": "1", "kept": "1"})
	assert.Equal(t, group[0].Role(), table.RoleReplica)
}

func TestKilledPrimaryRestartsAsReplica(t *testing.T) {
	group := startGroup(t)
	exec(t, dial(t, group[0], ""), insertX)
	waitForMark(t, group, table.Mark{Term: 1, Position: 1})
	group[0].Kill()
	cfg := standin.DefaultConfig("g1", "a")
	cfg.Address, cfg.ControlAddress = group[0].Address(), group[0].ControlAddress()
	cfg.Peers = []string{group[1].ControlAddress(), group[2].ControlAddress()}
	cfg.Primary = true
	restarted, err := standin.Start(cfg)
	assert.NilError(t, err)
	defer restarted.Close()
	assert.Equal(t, restarted.Role(), table.RoleReplica)
	assert.NilError(t, group[1].Promote(2))
	waitForMark(t, []*standin.Instance{restarted, group[2]}, table.Mark{Term: 2, Position: 1})
	assert.DeepEqual(t, restarted.Rows("k"), map[string]string{"x": "1"})
}

func TestFrozenInstanceAnswersAfterThaw(t *testing.T) {
	in := startPrimary(t)
	conn := dial(t, in, "")
	in.Freeze()
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), insertX)
		done <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := pgx.Connect(ctx, "postgres://u@"+in.Address()+"/x?sslmode=disable")
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "a new connection got an answer: %v", err)
	assert.Equal(t, len(in.Rows("k")), 0)
	in.Thaw()
	assert.NilError(t, <-done)
	assert.Equal(t, len(in.Rows("k")), 1)
}

func TestSilenceAffectsOpenConnectionsOnly(t *testing.T) {
	in := startPrimary(t)
	silent := dial(t, in, "")
	in.SilenceOpenConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := silent.Exec(ctx, insertX)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	assert.Equal(t, exec(t, dial(t, in, ""), insertX), "INSERT 0 1", "the write on the silent connection was discarded")
}

func TestCommitWithLostAnswerTakesEffect(t *testing.T) {
	for name, script := range map[string][]string{
		"implicit": {insertX},
		"explicit": {"BEGIN", insertX, "COMMIT"},
	} {
		t.Run(name, func(t *testing.T) {
			in := startPrimary(t)
			conn := dial(t, in, "")
			in.LoseAnswers(1)
			var err error
			for _, query := range script {
				assert.NilError(t, err)
				_, err = conn.Exec(t.Context(), query)
			}
			assert.Assert(t, err != nil)
			assert.Assert(t, conn.IsClosed())
			assert.Equal(t, len(in.Rows("k")), 1, "the commit took effect")
			exec(t, dial(t, in, ""), "DELETE FROM k WHERE key='x'")
		})
	}
}

func TestDelayedAnswers(t *testing.T) {
	in := startPrimary(t)
	conn := dial(t, in, "")
	in.DelayAnswers(20 * time.Millisecond)
	begin := time.Now()
	exec(t, conn, insertX)
	assert.Assert(t, time.Since(begin) >= 20*time.Millisecond)
}

func TestKillDropsConnections(t *testing.T) {
	in := startPrimary(t)
	conn := dial(t, in, "")
	in.Kill()
	_, err := conn.Exec(t.Context(), insertX)
	assert.Assert(t, err != nil)
	_, err = pgx.Connect(t.Context(), "postgres://u@"+in.Address()+"/x?sslmode=disable")
	assert.Assert(t, err != nil)
}

func TestFencedEpochCannotConnect(t *testing.T) {
	in := startPrimary(t)
	in.Fence(1, 5)
	_, err := pgx.Connect(t.Context(), "postgres://u@"+in.Address()+"/x?sslmode=disable&application_name=amaranthweir/4")
	assert.Assert(t, hasSQLState("57P01")(err))
	exec(t, dial(t, in, "&application_name=amaranthweir/5"), insertX)
}

func TestControlPortSetsFaultSwitches(t *testing.T) {
	in := startPrimary(t)
	post := func(query string) int {
		resp, err := http.Post("http://"+in.ControlAddress()+"/fault?"+query, "", nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode
	}
	for _, query := range []string{
		"freeze=true", "freeze=false", "cut=all", "cut=none", "cut=127.0.0.1:1,127.0.0.2",
		"silence=true", "late_ms=0", "lose=0&lag_ms=5", "leaving=true",
	} {
		assert.Equal(t, post(query), http.StatusNoContent, query)
	}
	for _, query := range []string{"explode=true", "freeze=maybe", "lag_ms=-1", "lose=x", "cut=nowhere"} {
		assert.Equal(t, post(query), http.StatusBadRequest, query)
	}
	assert.Equal(t, post("kill=true"), http.StatusNoContent)
	<-in.Done()
}

func TestAnnouncesToHostsInTurn(t *testing.T) {
	type arrival struct {
		host int
		a    dbedge.Announcement
	}
	arrivals := make(chan arrival)
	var hosts []string
	for i := range 2 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var a dbedge.Announcement
			if r.URL.Path != "/v1/announce" || json.NewDecoder(r.Body).Decode(&a) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			select {
			case arrivals <- arrival{i, a}:
			case <-r.Context().Done():
			}
			_ = json.NewEncoder(w).Encode(dbedge.AnnounceReply{IntervalMillis: 20})
		}))
		t.Cleanup(server.Close)
		hosts = append(hosts, server.Listener.Addr().String())
	}
	in := start(t, func(c *standin.Config) { c.Primary, c.Domain, c.Hosts = true, "derby", hosts })
	first, second := <-arrivals, <-arrivals
	assert.Equal(t, first.host, 0)
	assert.Equal(t, second.host, 1)
	assert.DeepEqual(t, second.a, dbedge.Announcement{
		Group: "g1", Instance: "g1-a", Address: in.Address(), Domain: "derby",
		Role: "primary", Term: 1, Slots: 3, Connections: 45,
	})
	in.SetLeaving(true)
	waitFor(t, func() bool { return (<-arrivals).a.Leaving })
}

func TestCloseEndsAllGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	var configs []standin.Config
	for _, id := range []table.InstanceID{"a", "b"} {
		configs = append(configs, standin.DefaultConfig("g1", id))
	}
	configs[0].Primary = true
	group, err := standin.StartGroup(configs...)
	assert.NilError(t, err)
	waitForMark(t, group, table.Mark{Term: 1})
	conn, err := pgx.Connect(t.Context(), "postgres://u@"+group[0].Address()+"/x?sslmode=disable")
	assert.NilError(t, err)
	exec(t, conn, "BEGIN; "+insertX)
	group[0].Freeze()
	assert.NilError(t, standin.CloseGroup(group))
	assert.NilError(t, conn.PgConn().Conn().Close())
}
