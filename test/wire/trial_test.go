package wire

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"tanagercross/internal/instance/clock"
	"tanagercross/internal/standin/cluster"
	"tanagercross/internal/standin/process"
	"tanagercross/internal/standin/wire"
)

const (
	processes  = 3
	callers    = 12
	operations = 1440 // of all callers of a run
	group      = "meals"
	leastShare = 0.95 // of the operations, answered with success
)

var (
	places    = []string{"agreste", "sertao", "litoral"}
	databases = []string{"bookings", "plates", "tally"} // primary, bounded staleness, read your writes
	kinds     = []string{"primary", "bounded_staleness", "read_your_writes"}
)

// trial is one run with one seed.
type trial struct {
	t         *testing.T
	seed      uint64
	directory string
	shift     int // of the odd words in names of items
	cluster   *cluster.Cluster
	platform  *wire.Platform
	instances []*process.Instance
	callers   []*caller
}

func newTrial(t *testing.T, seed uint64, f wire.AnswerFault, odd fields) *trial {
	t.Helper()
	x := &trial{t: t, seed: seed, shift: int(seed) % (len(oddWords) - itemsEach), cluster: cluster.New(clock.Boot)}
	var err error
	if x.directory, err = os.MkdirTemp(*keep, fmt.Sprintf("tanagercross-wire-%d-", seed)); err != nil {
		t.Fatal(err)
	}
	x.cluster.AddGroup(group, places...)
	var ids []string
	for _, p := range places {
		ids = append(ids, group+"-"+p)
	}
	if x.platform, err = wire.Start(x.cluster, ids...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.platform.Stop)
	x.platform.SetAnswers(f)
	x.configure()
	for n := range processes {
		i, err := process.New(program, x.directory, fmt.Sprintf("i%d", n), places[n], x.platform)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(i.Stop)
		x.instances = append(x.instances, i)
	}
	for n := range callers {
		x.callers = append(x.callers, &caller{
			trial: x, name: fmt.Sprintf("p%d", n), database: databases[n%len(databases)], odd: odd,
			random: rand.New(rand.NewPCG(seed, uint64(n))),
		})
	}
	return x
}

func (x *trial) configure() {
	if err := x.platform.Configure(x.document(3, databases, "k-coop")); err != nil {
		x.t.Fatal(err)
	}
}

// document is a configuration with the databases and the keys of the organisation.
func (x *trial) document(version int, databases []string, keys ...string) any {
	var routes []map[string]any
	for n, d := range databases {
		routes = append(routes, map[string]any{
			"host": d, "service": group, "kind": kinds[n], "timeoutMs": statementTimeout.Milliseconds(), "latencyGoalMs": 500,
			"maxStalenessMs": 1500,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"transactionIdleMs": 3000},
		"services": []map[string]any{{"name": group, "connectionCap": 60, "syncReplicas": 0}},
		"tenants":  []map[string]any{{"name": "coop", "apiKeys": keys, "ratePerS": 100000, "burst": 100000}},
	}
}

func (x *trial) run() {
	x.t.Helper()
	x.start()
	started := time.Now()
	runAll(x.callers, operations/callers)
	took := time.Since(started)
	for _, i := range x.instances {
		i.Stop()
	}
	x.report(took)
}

// start starts the instances and waits until they are ready.
func (x *trial) start() {
	x.t.Helper()
	for _, i := range x.instances {
		if err := i.Start(); err != nil {
			x.t.Fatal(err)
		}
	}
	for _, i := range x.instances {
		if err := i.AwaitReady(); err != nil {
			x.t.Fatalf("%v; log in %s", err, x.directory)
		}
	}
}

func (x *trial) report(took time.Duration) {
	x.t.Helper()
	records := x.platform.Records()
	k := newChecker(x.callers, records, x.cluster.Runs)
	k.check(records)
	for _, f := range x.cluster.Faults() {
		k.find("FAULT", f)
	}
	served, sessions := 0, 0
	for _, c := range x.callers {
		served += c.served
		sessions += c.sessions
	}
	x.t.Logf("seed %d: %d of %d operations served in %v, %d statements in %d sessions, %d at the servers: %s", x.seed, served, operations,
		took.Round(time.Millisecond), len(k.order), sessions, len(records), k.counts())
	for _, line := range k.traces() {
		x.t.Log(line)
	}
	if len(k.findings) > 0 {
		x.t.Errorf("seed %d: rules broken: %s", x.seed, k.counts())
	}
	if share := float64(served) / operations; share < leastShare {
		x.t.Errorf("seed %d: share %.3f of the operations served, want %.2f", x.seed, share, leastShare)
	}
	if !x.t.Failed() && *keep == "" {
		_ = os.RemoveAll(x.directory)
		return
	}
	x.t.Logf("seed %d: logs in %s", x.seed, x.directory)
}
