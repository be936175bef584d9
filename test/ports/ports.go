// Package ports reserves loopback addresses for processes that tests start
// later.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// Limits of the search for free ports. The range of ports lies below the operating
// system's ephemeral ports, so that no outgoing connection takes a port before a
// process listens on it.
const (
	// minPort is the lowest port of the range.
	minPort = 12000
	// portLimit is the first port above the range.
	portLimit = 32000
	// maxAttempts is the largest number of random ports that one call of FreeAddrs
	// tries.
	maxAttempts = 1000
)

var (
	mu sync.Mutex
	// reservations are UDP sockets on the ports that FreeAddrs has returned. They
	// stay open until this process ends, so that no other test process
	// reserves the same ports.
	reservations []net.PacketConn
)

// FreeAddrs returns n different addresses ("127.0.0.1:port") on which nothing
// listens. The addresses stay reserved until the calling process ends. FreeAddrs
// returns an error if it finds fewer than n free addresses in maxAttempts attempts.
func FreeAddrs(n int) ([]string, error) {
	mu.Lock()
	defer mu.Unlock()
	var addrs []string
	for range maxAttempts {
		if len(addrs) == n {
			return addrs, nil
		}
		addr := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(portLimit-minPort))
		if reserve(addr) {
			addrs = append(addrs, addr)
		}
	}
	return nil, errors.Errorf("fewer than %d free ports found", n)
}

// reserve reserves addr: it binds a UDP socket to addr that stays open. It reports
// false, and leaves nothing bound, if the UDP port or the TCP port is in use.
func reserve(addr string) bool {
	udp, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return false
	}
	tcp, err := net.Listen("tcp4", addr)
	if err != nil {
		_ = udp.Close()
		return false
	}
	_ = tcp.Close()
	reservations = append(reservations, udp)
	return true
}
