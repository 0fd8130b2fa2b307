package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	beatInterval = 1200 * time.Millisecond
	// beatTimeout is how long an instance waits for the answer to a heartbeat.
	beatTimeout = time.Second
	// firstBackoff is the pause before the next machine is called. It doubles.
	firstBackoff = 200 * time.Millisecond
)

// beat sends the heartbeats of one start of an instance until the start ends.
func (in *instance) beat(targets []string, rec *record) {
	g := in.group
	g.mu.Lock()
	born := in.born
	g.mu.Unlock()
	next, sequence := int(born)%len(targets), 0
	// A start keeps a connection to each machine that it has called.
	sender := &http.Client{Transport: &http.Transport{}}
	for {
		backoff := firstBackoff
		for {
			sequence++
			body, running := in.beatBody(born, sequence)
			if !running {
				return
			}
			in.awaitNetwork()
			err := sendBeat(sender, targets[next%len(targets)], in.id, body)
			if err == nil {
				break
			}
			rec.printf("instance %s, born %d: heartbeat %d: %v", in.id, born, sequence, err)
			next++
			time.Sleep(backoff)
			backoff = min(2*backoff, beatInterval)
		}
		next++
		time.Sleep(beatInterval)
	}
}

// beatBody returns the body of a heartbeat, and false once the start has ended.
func (in *instance) beatBody(born uint64, sequence int) (string, bool) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":2,"state":"ready","warmup_remaining_ms":0,"db_role":%q,"sequence":%d,"born":%d}`,
		in.group.name, in.address, in.zone, in.role, sequence, born), in.running && in.born == born
}

func sendBeat(sender *http.Client, address, id, body string) error {
	ctx, stop := context.WithTimeout(context.Background(), beatTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/Instances.Heartbeat/"+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := sender.Do(r)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// relay carries connections from one instance to one control machine. While it is cut,
// it holds what is on its way on an established connection, and a new connection is
// never established. When the cut heals, what was held arrives.
type relay struct {
	target string
	rec    *record

	mu     sync.Mutex
	healed chan struct{} // nil unless the relay is cut
	// cutNext makes the cut begin when the next heartbeat is on its way.
	cutNext bool
	onCut   func()
}

func (r *relay) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.carry(c)
		}
	}()
	return nil
}

// cut begins a cut, heal ends it.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healed == nil {
		r.healed = make(chan struct{})
	}
}

func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healed != nil {
		close(r.healed)
		r.healed = nil
	}
}

func (r *relay) state() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healed
}

// startCut begins the cut on all relays if it is to begin with this heartbeat.
func (r *relay) startCut() {
	r.mu.Lock()
	begin := r.cutNext && r.onCut != nil
	r.cutNext = false
	onCut := r.onCut
	r.mu.Unlock()
	if begin {
		onCut()
	}
}

func (r *relay) carry(c net.Conn) {
	defer c.Close()
	if r.state() != nil {
		buf := make([]byte, 4096)
		for { // the connection is never established
			if _, err := c.Read(buf); err != nil {
				return
			}
		}
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := out.Read(buf)
			if err != nil {
				return
			}
			if r.state() != nil {
				return // the answer is lost to a caller that has given up
			}
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		if n > 0 {
			r.startCut()
			if healed := r.state(); healed != nil {
				<-healed
				r.rec.printf("network: the cut has healed; %d bytes that were held arrive at %s", n, r.target)
			}
			if _, err := out.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			return
		}
	}
}
