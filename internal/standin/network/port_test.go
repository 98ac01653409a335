package network_test

import (
	"bufio"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"

	"tanagercross/internal/standin/network"
)

const (
	giverVariable = "TANAGERCROSS_TEST_PORT_GIVER"
	givers        = 21 // more than the blocks that process ids chose among before, so that at least two ids shared one
	givenEach     = 3
)

func TestMain(m *testing.M) {
	if os.Getenv(giverVariable) != "" {
		give()
	}
	os.Exit(m.Run())
}

// give prints addresses and keeps them until standard input ends.
func give() {
	addresses, err := network.FreeAddresses(givenEach)
	if err != nil {
		panic(err)
	}
	os.Stdout.WriteString(strings.Join(addresses, " ") + "\n")
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

// Guards against two deployments in different processes that are given the same ports: the databases of one then
// replicate to those of the other, and either deployment sees changes of primary that it did not cause.
func TestProcessesGetDistinctPorts(t *testing.T) {
	seen := map[string]int{}
	for i := range givers {
		c := exec.Command(os.Args[0])
		c.Env = append(slices.Clone(os.Environ()), giverVariable+"=1")
		in, err := c.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		out, err := c.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _, _ = in.Close(), c.Wait() })
		line, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range strings.Fields(line) {
			if other, ok := seen[address]; ok {
				t.Errorf("processes %d and %d were both given %s", other, i, address)
			}
			seen[address] = i
		}
	}
	if len(seen) != givers*givenEach && !t.Failed() {
		t.Errorf("%d addresses, want %d", len(seen), givers*givenEach)
	}
}

// Guards against an address that is still taken by the check that found it free: a process that is started meanwhile
// inherits the descriptor until it runs its own program.
func TestPortsAreFreeBesideStarts(t *testing.T) {
	ended := make(chan struct{})
	var starters sync.WaitGroup
	t.Cleanup(func() { close(ended); starters.Wait() })
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	for range 1500 {
		addresses, err := network.FreeAddresses(1)
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", addresses[0])
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
	}
}

// Guards against an address that one process is given twice, also after its first block of ports is used up.
func TestPortsAreGivenOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 10 {
		addresses, err := network.FreeAddresses(100)
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range addresses {
			if seen[address] {
				t.Fatalf("%s was given twice", address)
			}
			seen[address] = true
		}
	}
}
