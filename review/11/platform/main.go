// Command platform is the stand-in for the users' platform in the scripts of the
// third review: instances of a database service, the operator, callers, the platform's
// promotion call and the network between them. It starts the system's processes, plays
// one case and judges it.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// play is a case. It returns whether the rule was broken.
type play func(d *deployment, trouble bool) (broken bool, err error)

var plays = map[string]play{"earlier-start": playEarlierStart, "back-to-old": playBackToOld}

func main() {
	name := flag.String("case", "", "the case to play")
	file := flag.String("record", "record.txt", "the file to write")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	work := flag.String("work", "", "a temporary folder")
	flag.Parse()
	out, err := os.Create(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec := &record{out: out, start: time.Now()}
	os.Exit(run(*name, *work, rec, *trouble))
}

func run(name, work string, rec *record, trouble bool) int {
	play, known := plays[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	d, err := newDeployment(work, rec)
	if err == nil {
		defer d.stopAll()
		d.stopOnSignal()
		err = d.startAll()
	}
	broken := false
	if err == nil {
		broken, err = play(d, trouble)
	}
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		rec.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// stopOnSignal ends the processes and this program when it is asked to end.
func (d *deployment) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.stopAll()
		os.Exit(exitNotRun)
	}()
}

func newDeployment(work string, rec *record) (*deployment, error) {
	p, err := freePorts()
	if err != nil {
		return nil, err
	}
	d := &deployment{work: work, ports: p, rec: rec, group: newGroup("g1", rec)}
	for n, zone := range zones {
		in := &instance{group: d.group, id: fmt.Sprintf("i-%d", n+1), zone: zone, role: roleReplica, follows: 1}
		in.address = fmt.Sprintf("127.0.3.%d:%d", n+1, p.instances)
		if n == 0 {
			in.role, in.term = rolePrimary, 1
		}
		d.group.instances = append(d.group.instances, in)
		d.relays = append(d.relays, &relay{target: d.controlAddress(n), rec: rec})
	}
	return d, nil
}

// relayAddress is the address at which the relay to control machine n listens.
func (d *deployment) relayAddress(n int) string {
	return fmt.Sprintf("127.0.4.%d:%d", n+1, d.ports.calls)
}

// startAll starts everything and waits until callers are served.
func (d *deployment) startAll() error {
	for n, r := range d.relays {
		if err := r.listen(d.relayAddress(n)); err != nil {
			return err
		}
	}
	if err := d.serveCloud(); err != nil {
		return err
	}
	for _, in := range d.group.instances {
		if err := d.startInstance(in); err != nil {
			return err
		}
	}
	if err := d.startHosts(); err != nil {
		return err
	}
	if err := d.configure(1); err != nil {
		return err
	}
	return waitFor("callers are served", 20*time.Second, func() bool {
		c, err := dialClient(d.entryAddress(0), "orders")
		if err != nil {
			return false
		}
		defer c.close()
		r, err := c.exec("first", "READ x", 2*time.Second)
		return err == nil && r.ok()
	})
}

// startInstance starts an instance and its heartbeats, which go through the relays.
func (d *deployment) startInstance(in *instance) error {
	if err := in.start(); err != nil {
		return err
	}
	var targets []string
	for n := range zones {
		if in.id == cutInstance {
			targets = append(targets, d.relayAddress(n))
		} else {
			targets = append(targets, d.controlAddress(n))
		}
	}
	d.rec.printf("instance %s: starts with %d entries, born %d", in.id, len(in.log), in.born)
	go in.beat(targets, d.rec)
	return nil
}

// serveCloud serves the promotion call.
func (d *deployment) serveCloud() error {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", d.ports.cloud))
	if err != nil {
		return err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Instance string `json:"instance_id"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if !d.group.promote(in.Instance, r.Header.Get("Fencing-Token")) {
			w.WriteHeader(http.StatusConflict)
		}
	})
	go func() { _ = http.Serve(ln, handler) }()
	return nil
}

// configure sends a configuration until it is acknowledged.
func (d *deployment) configure(version int) error {
	body := fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r1","host":"orders","path_prefix":"/","kind":"read_your_writes","timeout_ms":800,"target_latency_ms":250,"priority":1,"service":"g1","max_attempts":2,"max_staleness_ms":2500},
{"name":"r2","host":"payments","path_prefix":"/","kind":"primary","timeout_ms":800,"target_latency_ms":150,"priority":0,"service":"g1","max_attempts":2}],
"services":[{"name":"g1","health_check_path":"/healthz","max_connections":%d,"protocol":"h1","tls_enabled":false,"sync_replicas":1}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"txn_idle_ms":3000}}`, version, maxConnections)
	n := 0
	return waitFor("the configuration is acknowledged", 20*time.Second, func() bool {
		n++
		return post(d.controlAddress(n%len(zones)), "/v1/Config.Replace", body) == nil
	})
}

var operator = &http.Client{Timeout: time.Second}

func post(address, path, body string) error {
	resp, err := operator.Post("http://"+address+path, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return nil
}
