// Package porttest finds free loopback addresses for tests whose processes must
// know each other's addresses before they listen.
package porttest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// The ports lie below the range from which the system assigns ports to listeners
// on port 0 and to outgoing connections.
const (
	firstPort = 20000
	portCount = 12000
	// pidStep separates the ports of the test processes of one run, which often
	// have consecutive process ids.
	pidStep = 97
)

var next atomic.Uint32

// Free returns n addresses on which no process listens. It checks an address by
// dialing it, not by listening on it: a child process that is being started holds
// copies of all sockets of this process for a moment, so that a listener opened
// for the check could remain open after its close.
func Free(tb testing.TB, n int) []string {
	tb.Helper()
	var addresses []string
	for len(addresses) < n {
		port := firstPort + (uint32(os.Getpid())*pidStep+next.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		nc, err := net.Dial("tcp", address)
		if err != nil {
			addresses = append(addresses, address)
			continue
		}
		if err := nc.Close(); err != nil {
			tb.Fatal(err)
		}
	}
	return addresses
}
