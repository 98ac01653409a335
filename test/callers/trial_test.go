package callers

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/instance/clock"
	"tanagercross/internal/standin/cluster"
	"tanagercross/internal/standin/process"
	"tanagercross/internal/standin/wire"
)

// machine is what the settings say of the machine of a process.
type machine struct{ memoryMB, descriptors int }

var (
	usual          = machine{memoryMB: 128, descriptors: 2048}
	littleMemory   = machine{memoryMB: 64, descriptors: 2048} // for crowds whose answers are large
	fewDescriptors = machine{memoryMB: 128, descriptors: 512} // for crowds that open connections
)

const (
	database      = "plates"
	key           = "k-coop"
	item          = "ordinary"
	largeItem     = "large"
	largeBytes    = 900 << 10
	ordinaryTries = 60
	ordinaryPause = 200 * time.Millisecond
	ordinaryWait  = 2500 * time.Millisecond // for an answer
	crowdDeadline = 12 * time.Second        // of each connection of a crowd
	samplePeriod  = 20 * time.Millisecond
)

// target is a process under test.
type target struct {
	machine
	t        *testing.T
	pid      int
	alive    func() bool
	ordinary func() error // one ordinary request
	peak     atomic.Int64 // open descriptors

	mu    sync.Mutex
	conns []net.Conn
}

// trial is a target that speaks the line protocol.
type trial struct {
	*target
	instance *process.Instance
}

func newTrial(t *testing.T, m machine) *trial {
	t.Helper()
	c := cluster.New(clock.Boot)
	places := []string{"agreste", "sertao", "litoral"}
	c.AddGroup("meals", places...)
	p, err := wire.Start(c, "meals-agreste", "meals-sertao", "meals-litoral")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	document := map[string]any{
		"version": 1, "limits": map[string]any{"transactionIdleMs": 3000},
		"routes":   []map[string]any{{"host": database, "service": "meals", "kind": "read_your_writes", "maxStalenessMs": 2500, "timeoutMs": 1500, "latencyGoalMs": 500}},
		"services": []map[string]any{{"name": "meals", "connectionCap": 60, "syncReplicas": 0}},
		"tenants":  []map[string]any{{"name": "coop", "apiKeys": []string{key}, "ratePerS": 100000, "burst": 100000}},
	}
	if err := p.Configure(document); err != nil {
		t.Fatal(err)
	}
	i, err := process.New(program, t.TempDir(), "i0", places[0], p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(i.Stop)
	for _, step := range []func() error{func() error { return i.Limit(m.memoryMB, m.descriptors) }, i.Start, i.AwaitReady} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	x := &trial{instance: i, target: &target{t: t, pid: i.PID(), machine: m}}
	x.alive = func() bool { return i.PID() == x.pid }
	x.ordinary = func() error { return x.query("WRITE " + item + " x") }
	x.watch()
	x.serve()
	return x
}

// query sends one statement in a session of its own. It fails unless the statement is answered with success.
func (x *trial) query(text string) error {
	s, code, err := wire.OpenSession(x.instance.Address, database, key, ordinaryWait)
	if err != nil {
		return fmt.Errorf("start: %s %w", code, err)
	}
	defer s.Close()
	r, err := s.Query("c/1", text)
	if err == nil && r.Code != "" {
		err = fmt.Errorf("answered %s", r.Code)
	}
	return err
}

// watch samples the open descriptors until the end of the test, which closes the connections of the crowd.
func (x *target) watch() {
	done := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for {
			entries, _ := os.ReadDir("/proc/" + strconv.Itoa(x.pid) + "/fd")
			x.peak.Store(max(x.peak.Load(), int64(len(entries))))
			select {
			case <-done:
				return
			case <-time.After(samplePeriod):
			}
		}
	})
	x.t.Cleanup(func() {
		close(done)
		sampling.Wait()
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, conn := range x.conns {
			_ = conn.Close()
		}
	})
}

// keep closes a connection at the end of the test only.
func (x *target) keep(conn net.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conns = append(x.conns, conn)
}

// crowd runs n clients at once and waits for all of them. Their connections stay open.
func (x *target) crowd(n int, address string, client func(r *rand.Rand, conn net.Conn)) {
	var running sync.WaitGroup
	for number := range n {
		running.Go(func() {
			conn, err := net.DialTimeout("tcp", address, crowdDeadline)
			if err != nil {
				return
			}
			x.keep(conn)
			_ = conn.SetDeadline(time.Now().Add(crowdDeadline))
			client(rand.New(rand.NewPCG(*seed, uint64(number))), conn)
		})
	}
	running.Wait()
}

// serve makes the ordinary request, a bounded number of times until it is answered.
func (x *target) serve() {
	x.t.Helper()
	var err error
	for range ordinaryTries {
		if err = x.ordinary(); err == nil {
			return
		}
		if !x.alive() {
			break
		}
		time.Sleep(ordinaryPause)
	}
	x.t.Errorf("seed %d: an ordinary request is not answered: %v", *seed, err)
}

// peakMemoryMB reads the peak of the resident memory from the kernel.
func (x *target) peakMemoryMB() int {
	text, _ := os.ReadFile("/proc/" + strconv.Itoa(x.pid) + "/status")
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.Atoi(fields[0])
	return kilobytes >> 10
}

// check makes the ordinary request while the connections of the crowd are open, and compares what was used with the limits.
func (x *target) check() {
	x.t.Helper()
	x.serve()
	if !x.alive() {
		x.t.Fatalf("seed %d: the process has ended", *seed)
	}
	memory, open := x.peakMemoryMB(), int(x.peak.Load())
	x.t.Logf("seed %d: peak memory %d MiB, %d descriptors", *seed, memory, open)
	if memory == 0 || memory > x.memoryMB {
		x.t.Errorf("seed %d: peak memory %d MiB, want at most %d", *seed, memory, x.memoryMB)
	}
	if open == 0 || open > x.descriptors {
		x.t.Errorf("seed %d: %d descriptors, want at most %d", *seed, open, x.descriptors)
	}
}
