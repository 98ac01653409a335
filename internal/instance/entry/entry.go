// Package entry runs an instance on a platform that keeps what must last: it serves callers' sessions, uses the servers of
// its place on behalf of all instances, and takes part in the fleet.
//
// # Usage
//
//	node, err := entry.Start(entry.Options{Settings: settings, Store: store, Promoter: promoter, Dialer: dialer, Log: log})
//	session, refusal := node.Session("meals", key)
//	node.Drain()
//	node.Stop()
//
// Files of the package: reader.go reads the store, exchange.go talks to other instances, rates.go keeps organisations in
// their rates, lending.go borrows tokens of other places, servers.go uses servers, succession.go examines primaries,
// replace.go names new ones, observe.go writes logs and metrics.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/organisation/allotment"
	"tanagercross/internal/request/dispatch"
	"tanagercross/internal/session/callersession"
)

// Settings are what an instance is told at its start.
type Settings struct {
	Name         string
	Place        string
	Power        float64 // processing power of the machine, in cores; 0 if not known
	PeersAddress string  // for other instances
	DutyLease    time.Duration
	// ConfigurationLimit is the age of the configuration past which callers are refused; 0 for no limit.
	ConfigurationLimit time.Duration
	// FirstStart says that all instances start for the first time and no caller waits.
	FirstStart bool
}

// Options are what an instance needs. All fields but Boot must be set.
type Options struct {
	Settings Settings
	Store    Store
	Promoter Promoter
	Decoder  view.Decoder
	Dialer   statement.Dialer
	Metrics  *metric.Registry
	Log      *slog.Logger
	Boot     func() time.Duration // clock that counts suspended time; nil for that of the machine
}

// Node is a running instance. Create it with Start.
type Node struct {
	options  Options
	settings Settings
	boot     func() time.Duration
	log      *slog.Logger
	observer *observer

	table       *view.Table
	client      *relay.Client
	server      *http.Server
	dispatcher  *dispatch.Dispatcher
	limiter     *allotment.Limiter
	rates       *rates
	gates       *gates
	proofs      *proofs
	guard       *guard
	exchanges   *exchanges
	environment callersession.Environment

	prefix   string // of session ids
	sessions atomic.Uint64
	ending   atomic.Bool
	stopping atomic.Bool
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// rateWait is how long an operation waits for a rate token: longer waits are worth less to a caller than a refusal that
// names a time.
const rateWait = 140 * time.Millisecond

// configurationHold is how long a new caller waits at an instance that has just started; callers give up after 2 s.
const configurationHold = 1200 * time.Millisecond

// Start starts an instance. It returns before the instance is ready.
func Start(o Options) (*Node, error) {
	if o.Boot == nil {
		o.Boot = clock.Boot
	}
	listener, err := net.Listen("tcp", o.Settings.PeersAddress)
	if err != nil {
		return nil, eris.Wrap(err, "entry: listen for instances")
	}
	random := make([]byte, 6)
	if _, err := rand.Read(random); err != nil {
		return nil, eris.Wrap(err, "entry: random")
	}
	n := &Node{
		options: o, settings: o.Settings, boot: o.Boot, log: o.Log, client: relay.NewClient(o.Boot),
		prefix: hex.EncodeToString(random) + "-",
	}
	n.observer = newObserver(n, o.Log, o.Metrics)
	self := view.Presence{Name: o.Settings.Name, Address: o.Settings.PeersAddress, Place: o.Settings.Place, Power: o.Settings.Power}
	n.table = view.NewTable(self, o.Decoder, n.observer)
	n.rates = newRates(n)
	n.gates = newGates(n)
	n.proofs = newProofs(n)
	n.guard = newGuard(n)
	n.exchanges = newExchanges(n)
	n.dispatcher = dispatch.New(n.table, n.gates, dispatch.Options{Boot: n.boot, Observer: n.observer})
	n.limiter = allotment.NewLimiter(n.rates, n.rates.whole, allotment.Options{RateWait: rateWait, HomeWait: 2 * rateWait})
	n.environment = callersession.Environment{
		Configuration: n.table.Configuration, ConfigurationFresh: n.current, Dispatcher: n.dispatcher, Limiter: admission{n.rates},
		Observer: n.observer, Draining: n.ending.Load, Stopping: n.stopping.Load,
	}
	n.server = relay.NewServer(relay.NewHandler(&services{n}, n.boot))
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.spawn(func() { _ = n.server.Serve(listener) })
	for _, loop := range []func(context.Context){
		n.readMembers, n.readConfiguration, n.readServers, n.exchanges.run, n.gates.run, n.proofs.run, n.guard.run,
	} {
		n.spawn(func() { loop(ctx) })
	}
	n.log.Info("started", "instance", self.Name, "place", self.Place, "peers", self.Address)
	return n, nil
}

func (n *Node) spawn(f func()) {
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		f()
	}()
}

// Session starts a caller's session, or returns nil and the refusal.
func (n *Node) Session(database, key string) (*callersession.Session, statement.Answer) {
	for end := n.boot() + configurationHold; !n.informed() && n.boot() < end; {
		time.Sleep(firstCheck)
	}
	id := n.prefix + strconv.FormatUint(n.sessions.Add(1), 36)
	return callersession.Start(n.environment, id, database, key)
}

// informed reports whether the instance knows the configuration and, unless it has waited for them, the other instances:
// before that it would open connections of its own to all servers.
func (n *Node) informed() bool {
	_, _, members := n.table.ReadTimes()
	return n.table.Configuration().Version > 0 && (members > 0 || n.boot()-n.exchanges.started > joinWait)
}

// current reports whether the configuration is recent enough to admit callers.
func (n *Node) current() bool {
	read, _, _ := n.table.ReadTimes()
	limit := n.settings.ConfigurationLimit
	if read == 0 || limit == 0 {
		return read > 0
	}
	return n.boot()-read <= limit
}

// Ready reports whether the instance can serve callers.
func (n *Node) Ready() bool {
	if n.ending.Load() || n.table.Self().Leaving {
		return false
	}
	configuration, servers, _ := n.table.ReadTimes()
	return configuration > 0 && servers > 0 && n.exchanges.joined()
}

// Steward reports whether this instance acts for its place.
func (n *Node) Steward() bool { return n.exchanges.steward() }

// Leave tells the other instances that this one is about to stop. Work that it has goes on.
func (n *Node) Leave() {
	n.table.Leave()
	n.log.Info("leaving")
	n.exchanges.announce()
}

// End makes sessions end when they are between operations.
func (n *Node) End() { n.ending.Store(true) }

// Refuse makes the instance take no more statements, because its process ends before they would.
func (n *Node) Refuse() {
	n.ending.Store(true)
	n.stopping.Store(true)
}

// Transactions returns the number of open transactions on servers that this instance uses.
func (n *Node) Transactions() int { return n.gates.transactions() }

// Stop ends all loops and connections.
func (n *Node) Stop() {
	n.stop()
	_ = n.server.Close()
	n.gates.close()
	n.client.Close()
	n.done.Wait()
	n.log.Info("stopped")
}
