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
	mux.HandleFunc("GET /peer/status", in.fellow(func(w http.ResponseWriter, r *http.Request) {
		in.answer(w, r, in.store.state())
	}))
	mux.HandleFunc("GET /peer/log", in.fellow(in.servePull))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(in.Stats()) // the caller may be gone
	})
	mux.HandleFunc("POST /fault", in.serveFault)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: askTimeout}
	in.wait.Go(func() {
		<-in.ctx.Done()
		_ = server.Close() // its error is that of Serve
	})
	_ = server.Serve(in.control) // ends with Close
}

// fellow lets requests of fellows through while traffic with them passes.
func (in *Instance) fellow(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if in.faults.pass(r.Context(), r.Header.Get(fellowHeader)) == nil {
			next(w, r)
		}
	}
}

// answer sends v to a fellow, once traffic passes.
func (in *Instance) answer(w http.ResponseWriter, r *http.Request, v any) {
	if in.faults.pass(r.Context(), r.Header.Get(fellowHeader)) != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the fellow may be gone
}

// serveFault sets switches. One request may set several:
//
//	kill=true            answer, then drop everything at once
//	freeze=true|false    stop everything, or go on
//	cut=all|none|A,B     stop the traffic with the peers A and B
//	silence=true         make the open connections silent
//	late_ms=N            hold answers back
//	lose=N               lose the answers of the next commits
//	leaving=true|false   announce that the instance leaves
//	lag_ms=N             change the replication lag
func (in *Instance) serveFault(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	for name := range query {
		set, ok := switches[name]
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
		_ = http.NewResponseController(w).Flush() // the caller may be gone
		go in.Kill()                              // it waits for this handler
	}
}

var switches = map[string]func(in *Instance, value string) error{
	"kill":    boolSwitch(func(*Instance, bool) {}), // after the answer
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
