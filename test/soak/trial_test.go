package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"tanagercross/internal/instance/clock"
	"tanagercross/internal/standin/cluster"
	"tanagercross/internal/standin/process"
	"tanagercross/internal/standin/wire"
)

const (
	recoverWithin    = 12 * time.Second
	readyPoll        = 50 * time.Millisecond
	configureWithin  = 4 * time.Second
	calmBefore       = 1500 * time.Millisecond
	sessionsEach     = 2 // callers of each database and group
	maximumFaults    = 25
	mostFaultsAtOnce = 3
	repeatShare      = 0.1                   // of the answers of servers
	repeatDelay      = 80 * time.Millisecond // most delay of a repeated answer
)

var (
	places    = []string{"agreste", "sertao", "litoral"}
	groups    = []string{"meals", "records"}
	databases = []string{"bookings", "plates", "tally"} // primary, bounded staleness, read your writes
)

// trial is the run of one seed.
type trial struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand
	directory string
	cluster   *cluster.Cluster
	platform  *wire.Platform
	instances []*process.Instance
	callers   []*caller
	register  *register
	started   time.Time
	version   int
	stop      chan struct{}

	mu      sync.Mutex
	refused map[string]string // code by id of a write that was promised not to be kept
	faults  []string
	events  []string
}

func newTrial(t *testing.T, seed uint64) *trial {
	t.Helper()
	x := &trial{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), cluster: cluster.New(clock.Boot), stop: make(chan struct{}),
		refused: map[string]string{}, register: &register{writes: map[string][]acknowledged{}, unanswered: map[string]map[uint64]bool{}}, started: time.Now(),
	}
	var err error
	if x.directory, err = os.MkdirTemp(*keep, fmt.Sprintf("tanagercross-seed-%d-", seed)); err != nil {
		t.Fatal(err)
	}
	var ids []string
	for n, g := range groups {
		x.cluster.AddGroup(g, places[n], places[(n+1)%len(places)], places[(n+2)%len(places)])
		for _, p := range places {
			ids = append(ids, g+"-"+p)
		}
	}
	if x.synchronous() {
		x.cluster.Synchronous("meals")
	}
	if x.platform, err = wire.Start(x.cluster, ids...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.platform.Stop)
	if x.repeatsAnswers() {
		x.platform.SetAnswers(wire.AnswerFault{Seed: seed, Repeat: repeatShare, Most: repeatDelay})
	}
	x.configure(true)
	for n := range *instances {
		i, err := process.New(program, x.directory, fmt.Sprintf("i%d", n), places[n%2], x.platform)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(i.Stop)
		if x.prioritised() {
			if err := i.Contracts("base,pressure"); err != nil {
				t.Fatal(err)
			}
		}
		x.instances = append(x.instances, i)
	}
	for _, g := range groups {
		for _, d := range databases {
			for n := range sessionsEach {
				name := fmt.Sprintf("%s-%s-%d", g, d, n)
				x.callers = append(x.callers, &caller{
					trial: x, name: name, database: d, group: g, key: "k-coop", random: rand.New(rand.NewPCG(seed, uint64(len(x.callers)+2))),
				})
			}
		}
	}
	return x
}

// synchronous reports whether the commits of group meals wait for a replica in this seed.
func (x *trial) synchronous() bool { return x.seed%2 == 0 }

// prioritised reports whether priorities are in force and callers of the lowest one overload servers in this seed. Lower
// seeds still play what they played before this existed.
func (x *trial) prioritised() bool { return x.seed >= 20_000 && x.seed%2 == 1 }

// repeatsAnswers reports whether the servers send answers again in this seed. The seeds that failed before this existed do
// not, so that they still play what they played then.
func (x *trial) repeatsAnswers() bool { return x.seed%4 == 3 }

// configure writes the configuration, with or without the key that is withdrawn and the database that is removed.
func (x *trial) configure(all bool) {
	x.version += 3
	var routes, services []map[string]any
	for n, g := range groups {
		sync := 0
		if g == "meals" && x.synchronous() {
			sync = 1
		}
		services = append(services, map[string]any{"name": g, "connectionCap": 60, "syncReplicas": sync})
		for m, d := range databases {
			host := d
			if n > 0 {
				host = g + "-" + d
			}
			routes = append(routes, route(host, g, m))
		}
	}
	keys := []string{"k-coop"}
	if all {
		keys = append(keys, "k-old")
		routes = append(routes, route("season", "meals", 0))
	}
	document := map[string]any{
		"version": x.version, "routes": routes, "services": services, "limits": map[string]any{"transactionIdleMs": 3000},
		"tenants": []map[string]any{{"name": "coop", "apiKeys": keys, "ratePerS": 100000, "burst": 100000}},
	}
	if err := x.platform.Configure(document); err != nil {
		x.t.Fatal(err)
	}
}

func route(host, group string, kind int) map[string]any {
	return map[string]any{
		"host": host, "service": group, "kind": []string{"primary", "bounded_staleness", "read_your_writes"}[kind],
		"timeoutMs": statementTimeout.Milliseconds(), "latencyGoalMs": 500, "maxStalenessMs": stalenessBound.Milliseconds(),
		"priority": kind,
	}
}

func (x *trial) callersOf(group string) []*caller {
	var all []*caller
	for _, c := range x.callers {
		if c.group == group {
			all = append(all, c)
		}
	}
	return all
}

func (x *trial) fault(format string, arguments ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.faults) < maximumFaults {
		x.faults = append(x.faults, fmt.Sprintf("%6.2f s  ", time.Since(x.started).Seconds())+fmt.Sprintf(format, arguments...))
	}
}

func (x *trial) event(format string, arguments ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.events = append(x.events, fmt.Sprintf("%6.2f s  ", time.Since(x.started).Seconds())+fmt.Sprintf(format, arguments...))
}

func (x *trial) ended() bool {
	select {
	case <-x.stop:
		return true
	default:
		return false
	}
}

func (x *trial) run() {
	defer x.report()
	for _, i := range x.instances {
		if err := i.Start(); err != nil {
			x.t.Fatal(err)
		}
	}
	defer func() {
		for _, i := range x.instances {
			i.Signal(syscall.SIGCONT)
			<-i.Signal(syscall.SIGKILL)
		}
	}()
	for _, i := range x.instances {
		if err := i.AwaitReady(); err != nil {
			x.fault("%v", err)
			return
		}
	}
	var running sync.WaitGroup
	for _, c := range x.callers {
		running.Go(c.run)
	}
	time.Sleep(calmBefore)
	x.disturb(*faulty)
	x.event("all faults have ended")
	healed := time.Now()
	for _, i := range x.instances {
		x.recovers(i, healed)
	}
	close(x.stop)
	running.Wait()
	x.withdrawn()
	x.checkWrites()
}

// recovers waits until an instance serves each database again.
func (x *trial) recovers(i *process.Instance, healed time.Time) {
	for n, c := range x.callers {
		if n%sessionsEach != 0 {
			continue
		}
		item := fmt.Sprintf("check-%s-%d", i.Name, n)
		for attempt := 0; !x.serves(i, c, item, attempt); attempt++ {
			if time.Since(healed) > recoverWithin {
				x.fault("%s does not serve %s %v after all faults ended", i.Name, c.database, recoverWithin)
				return
			}
			time.Sleep(readyPoll)
		}
	}
}

func (x *trial) serves(i *process.Instance, c *caller, item string, attempt int) bool {
	s, _, err := openSession(i.Callers.Address(), c.host(), c.key)
	if err != nil {
		return false
	}
	defer s.Close()
	for n, text := range []string{"WRITE " + item + " 1", "READ " + item} {
		if r, err := s.Query(fmt.Sprintf("%s/%d-%d", item, attempt, n), text); err != nil || r.Code != "" {
			return false
		}
	}
	return true
}

// withdrawn checks that the last configuration holds everywhere.
func (x *trial) withdrawn() {
	x.configure(false)
	time.Sleep(configureWithin)
	for _, i := range x.instances {
		if s, code, err := openSession(i.Callers.Address(), "bookings", "k-old"); code != "NOAUTH" {
			x.fault("%s takes a withdrawn key: session %t, code %q, %v", i.Name, s != nil, code, err)
		}
		if s, code, err := openSession(i.Callers.Address(), "season", "k-coop"); code != "NODATABASE" {
			x.fault("%s takes a removed database: session %t, code %q, %v", i.Name, s != nil, code, err)
		}
	}
}

// checkWrites compares what callers were told with what the servers hold.
func (x *trial) checkWrites() {
	for _, c := range x.callers {
		last := x.register.before(c.name, time.Now())
		value, _ := strconv.ParseUint(x.cluster.Value(c.group, c.name), 10, 64)
		c.checkAge("the end", c.name, value, last)
		if c.group != "meals" || !x.synchronous() {
			continue
		}
		for _, w := range last {
			if x.cluster.RolledBack(c.name, strconv.FormatUint(w.value, 10)) {
				x.fault("the write %d of %s was acknowledged and dropped by a promotion", w.value, c.name)
			}
		}
	}
	for id, code := range x.refused {
		if x.cluster.Runs(id) > 0 {
			x.fault("%s was refused with %s and took effect", id, code)
		}
	}
	for _, f := range x.cluster.Faults() {
		x.fault("%s", f)
	}
}

// report fails the test with what was found and keeps the logs, or removes them.
func (x *trial) report() {
	x.mu.Lock()
	defer x.mu.Unlock()
	writes := 0
	for _, w := range x.register.writes {
		writes += len(w)
	}
	x.t.Logf("seed %d: %d acknowledged writes, %d promotions, %d events", x.seed, writes, x.cluster.Promotions(), len(x.events))
	if len(x.faults) == 0 {
		if *keep == "" {
			_ = os.RemoveAll(x.directory)
		}
		return
	}
	for _, e := range x.events {
		x.t.Log(e)
	}
	for _, f := range x.faults {
		x.t.Error(f)
	}
	x.t.Errorf("seed %d: logs in %s", x.seed, x.directory)
}
