package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
)

const (
	faultSeeds  = 2 // in CI
	faultsFor   = 20 * time.Second
	emptyPeriod = 12 * time.Second // between two losses of a log, so that no commit is lost on both servers that hold it
)

// faultInjector brings faults about in a fleet, in an order given by a seed. All of them end within some seconds.
type faultInjector struct {
	f      *fleet
	random *rand.Rand

	fleetMu   sync.RWMutex // held by writers while they use an instance
	healing   sync.WaitGroup
	lastEmpty time.Time
}

// between returns a random time.
func (i *faultInjector) between(low, high time.Duration) time.Duration {
	return low + time.Duration(i.random.Int64N(int64(high-low)))
}

// during calls begin, and end after a random time.
func (i *faultInjector) during(limit time.Duration, begin, end func()) {
	begin()
	length := i.between(300*time.Millisecond, limit)
	i.healing.Go(func() {
		time.Sleep(length)
		end()
	})
}

// inject brings one fault about.
func (i *faultInjector) inject() {
	c := i.f.cluster
	server := []string{"meals-agreste", "meals-sertao", "meals-litoral"}[i.random.IntN(3)]
	switch fault := i.random.IntN(14); {
	case fault < 5:
		if primary := c.Primary("meals"); primary != "" && i.random.IntN(2) == 0 {
			server = primary
		}
		i.during(6*time.Second, func() { c.Crash(server) }, func() { c.Restart(server) })
	case fault < 8:
		i.during(10*time.Second, func() { c.Unlist(server, true) }, func() { c.Unlist(server, false) })
	case fault < 11:
		i.during(6*time.Second, func() { c.Deafen(server, true) }, func() { c.Deafen(server, false) })
	case fault == 11 && !c.Leads(server) && time.Since(i.lastEmpty) > emptyPeriod:
		i.lastEmpty = time.Now()
		c.Crash(server)
		c.RestartEmpty(server)
	case fault == 12:
		i.during(4*time.Second, func() { c.SetStoreDown(true) }, func() { c.SetStoreDown(false) })
	case fault == 13:
		i.fleetMu.Lock()
		defer i.fleetMu.Unlock()
		i.f.restartAll(func() {})
	}
}

// write makes one write through an instance and reports whether it was acknowledged.
func (i *faultInjector) write(instance, n int) bool {
	i.fleetMu.RLock()
	defer i.fleetMu.RUnlock()
	s, _ := i.f.nodes[instance].Session("bookings", keyText)
	if s == nil {
		return false
	}
	id := fmt.Sprintf("w%d/%d", instance, n)
	return s.Handle(context.Background(), statement.Query{ID: id, Body: statement.Write{Arguments: "plates " + id}}).OK()
}

// numberFromEnvironment returns the number in an environment variable, or a default.
func numberFromEnvironment(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// Guards against the loss of an acknowledged commit, which the servers of the stand-in detect at each promotion, and against a group
// that takes no writes again, under crashes, cuts off the store, replicas that receive nothing or lose their log, outages of the
// store and restarts of all instances. FAULT_SEED sets the first seed, FAULT_SEEDS their number.
func TestAcknowledgedCommitsSurviveFaults(t *testing.T) {
	t.Parallel()
	first := numberFromEnvironment("FAULT_SEED", 1)
	for seed := first; seed < first+numberFromEnvironment("FAULT_SEEDS", faultSeeds); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			f, _ := newRecordedFleet(t)
			i := &faultInjector{f: f, random: rand.New(rand.NewPCG(uint64(seed), 0))}
			stop := make(chan struct{})
			var writers sync.WaitGroup
			for instance := range 3 {
				writers.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(20 * time.Millisecond):
							i.write(instance, n)
						}
					}
				})
			}
			for end := time.Now().Add(faultsFor); time.Now().Before(end); time.Sleep(i.between(200*time.Millisecond, 2*time.Second)) {
				i.inject()
			}
			i.healing.Wait()
			close(stop)
			writers.Wait()
			n := 1_000_000
			f.eventuallyWithin(15*time.Second, "a write after the faults", func() bool { n++; return i.write(1, n) })
			t.Logf("%d promotions", f.cluster.Promotions())
		})
	}
}
