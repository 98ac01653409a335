package network

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Ports for listeners are below the range that outgoing connections use, so that a server can come back under its
// address. A process claims whole blocks of ports by listening on the first port of each, for as long as it lives, and
// never gives a port out twice: one that is free when it is chosen may be taken by a parallel test before it is used,
// or belong to a server that is down and comes back.
const (
	firstPort    = 12000
	portsOfBlock = 250
	blocks       = 80
	dialTimeout  = time.Second
)

var ports struct {
	sync.Mutex
	claims []net.Listener // held until the process ends
	first  int            // of the block in use
	next   int            // offset in the block; 0 if none was claimed yet
}

// FreeAddresses returns loopback addresses for listeners, each only once in all processes that use this package.
func FreeAddresses(n int) ([]string, error) {
	ports.Lock()
	defer ports.Unlock()
	addresses := make([]string, 0, n)
	for len(addresses) < n {
		if ports.next == 0 || ports.next == portsOfBlock {
			if err := claimBlock(); err != nil {
				return nil, err
			}
		}
		address := loopback(ports.first + ports.next)
		ports.next++
		if !refuses(address) {
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// refuses reports whether nothing listens at an address. Listening there would not do as a check: a process that is started
// meanwhile inherits the descriptor and holds the port until it runs its own program.
func refuses(address string) bool {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// claimBlock takes the next block that no process holds. Processes start at different blocks to meet fewer claims.
func claimBlock() error {
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*portsOfBlock
		l, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		ports.claims = append(ports.claims, l)
		ports.first, ports.next = first, 1
		return nil
	}
	return eris.New("no free block of ports found")
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
