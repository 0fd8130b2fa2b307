// Package porttest finds loopback addresses for tests whose processes must
// know each other's before they listen.
package porttest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// The ports lie below those that the system hands out for port 0 and for
// outgoing connections.
const (
	firstPort = 20000
	portCount = 12000
	// pidStep keeps the processes of one test run apart.
	pidStep = 97
)

var next atomic.Uint32

// Free returns n addresses that nothing listens on. It asks by dialling: a
// process that is being started holds copies of all sockets of this one for a
// moment, and a listener that was closed would still be there.
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
