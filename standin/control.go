package standin

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// serveControl serves the control port until the instance is closed.
func (in *Instance) serveControl() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer/status", in.peerHandler(func(w http.ResponseWriter, r *http.Request) {
		in.respondToPeer(w, r, in.store.state())
	}))
	mux.HandleFunc("GET /peer/log", in.peerHandler(in.servePull))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(in.Stats()) // the client may have disconnected
	})
	mux.HandleFunc("POST /fault", in.serveFault)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: peerRequestTimeout}
	in.wait.Go(func() {
		<-in.ctx.Done()
		_ = server.Close() // fails if Instance.Close has closed the listener first
	})
	_ = server.Serve(in.control) // always returns an error after Close
}

// peerHandler wraps the handler of requests from peers: a request waits while a
// fault stops the traffic with its sender.
func (in *Instance) peerHandler(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if in.faults.waitUnblocked(r.Context(), r.Header.Get(peerAddressHeader)) == nil {
			next(w, r)
		}
	}
}

// respondToPeer sends v to a peer as JSON, once no fault stops the traffic with
// it.
func (in *Instance) respondToPeer(w http.ResponseWriter, r *http.Request, v any) {
	if in.faults.waitUnblocked(r.Context(), r.Header.Get(peerAddressHeader)) != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the peer may have disconnected
}

// serveFault sets fault switches. One request may set several of them:
//
//	kill=true            answer, then kill the instance
//	freeze=true|false    stop or resume all processing
//	cut=all|none|A,B     stop all traffic, none, or only that with A and B
//	silence=true         stop all traffic on the connections open now
//	late_ms=N            delay every answer by N milliseconds
//	lose=N               run the next N commits but lose their answers
//	leaving=true|false   announce that the instance leaves, or does not
//	lag_ms=N             set the replication lag to N milliseconds
func (in *Instance) serveFault(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	for name := range query {
		set, ok := faultSwitches[name]
		if !ok {
			http.Error(w, "unknown switch "+strconv.Quote(name), http.StatusBadRequest)
			return
		}
		if err := set(in, query.Get(name)); err != nil {
			http.Error(w, name+": "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
	if kill, _ := strconv.ParseBool(query.Get("kill")); kill {
		_ = http.NewResponseController(w).Flush() // the client may have disconnected
		go in.Kill()                              // in a goroutine, because it waits for this handler
	}
}

// faultSwitches maps the name of a switch to the function that parses its value
// and sets it.
var faultSwitches = map[string]func(in *Instance, value string) error{
	"kill":    boolSwitch(func(*Instance, bool) {}), // only parsed: serveFault kills after the answer
	"silence": boolSwitch(func(in *Instance, _ bool) { in.SilenceOpenConnections() }),
	"leaving": boolSwitch((*Instance).SetLeaving),
	"freeze": boolSwitch(func(in *Instance, on bool) {
		if on {
			in.Freeze()
		} else {
			in.Thaw()
		}
	}),
	"late_ms": intSwitch(func(in *Instance, n int) { in.DelayAnswers(time.Duration(n) * time.Millisecond) }),
	"lag_ms":  intSwitch(func(in *Instance, n int) { in.SetLag(time.Duration(n) * time.Millisecond) }),
	"lose":    intSwitch((*Instance).LoseAnswers),
	"cut":     cutSwitch,
}

func boolSwitch(set func(*Instance, bool)) func(*Instance, string) error {
	return func(in *Instance, text string) error {
		on, err := strconv.ParseBool(text)
		if err == nil {
			set(in, on)
		}
		return err
	}
}

func intSwitch(set func(*Instance, int)) func(*Instance, string) error {
	return func(in *Instance, text string) error {
		n, err := strconv.Atoi(text)
		if err == nil && n < 0 {
			err = errors.New("must not be negative")
		}
		if err == nil {
			set(in, n)
		}
		return err
	}
}

func cutSwitch(in *Instance, text string) error {
	switch text {
	case "all":
		in.Cut()
		return nil
	case "none":
		in.Heal()
		return nil
	}
	peers := strings.Split(text, ",")
	for _, p := range peers {
		_, _, err := net.SplitHostPort(p)
		if err != nil && net.ParseIP(p) == nil {
			return errors.New("want all, none, or addresses")
		}
	}
	in.Cut(peers...)
	return nil
}
