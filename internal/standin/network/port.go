package network

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

// Ports for listeners are below the range that outgoing connections use, so that a server can come back under its
// address. Each process takes them from a part of its own, and never gives one out twice: a port that is free when it
// is chosen may be taken by a parallel test before it is used.
const (
	firstPort      = 12000
	portsOfProcess = 1000
	processes      = 20
)

var ports struct {
	sync.Mutex
	next int
}

// FreeAddresses returns loopback addresses for listeners.
func FreeAddresses(n int) ([]string, error) {
	ports.Lock()
	defer ports.Unlock()
	first := firstPort + os.Getpid()%processes*portsOfProcess
	addresses := make([]string, 0, n)
	for range portsOfProcess {
		if len(addresses) == n {
			return addresses, nil
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(first+ports.next%portsOfProcess))
		ports.next++
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, eris.Wrap(err, "close "+address)
		}
		addresses = append(addresses, address)
	}
	return nil, eris.New("no free port found")
}
