// Package entry runs an instance: it serves the sessions of callers, executes statements on the servers that it holds, for
// its own callers and for other instances, exchanges state with the other instances, and replaces failed primaries. The
// instance keeps nothing on disk; what must survive a restart is in the platform's store.
//
// # Usage
//
//	node, err := entry.Start(entry.Options{Settings: settings, Store: store, Promoter: promoter, Decoder: decoder,
//		Dialer: dialer, Metrics: metrics, Log: log})
//	session, refusal := node.Session("bookings", key)
//	node.Leave()
//	node.EndSessions()
//	node.Stop()
//
// Files of the package: reader.go reads the store, decoder.go decodes its rows, gossip.go exchanges state with other
// instances, services.go answers their calls, rates.go limits the rates of organisations, lending.go borrows tokens
// from other places, servers.go executes statements on servers, positions.go keeps positions of leaders, failover.go
// examines primaries, promote.go promotes replicas, replicas.go sends commands to them, promotion_lease.go claims the
// lease for that, replicaset.go keeps which servers may hold acknowledged commits, settle.go ends what changes that were given up have left, observe.go writes logs and metrics,
// evacuate.go applies evacuations, cold.go limits statements to cold servers, slowstart.go begins slow starts, ports.go
// declares the interfaces of the platform.
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
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/organisation/allotment"
	"tanagercross/internal/request/dispatch"
	"tanagercross/internal/service/recovery"
	"tanagercross/internal/session/callersession"
)

// Settings describes an instance.
type Settings struct {
	Name           string
	Place          string
	Regions        roster.Regions
	Power          float64       // processing power of the machine, in cores; 0 if not known
	PeersAddress   string        // for other instances
	PromotionLease time.Duration // how long the promotion lease lasts without renewal
	// MaxConfigurationAge is the age of the configuration past which callers are refused; 0 for no limit.
	MaxConfigurationAge time.Duration
	MemoryBytes         int64         // of the machine; 0 for no limit of what other instances send
	EvacuationTimeout   time.Duration // to the last statement at the servers of an evacuated data centre
	// PriorityScheduling asks for the decisions by priority under load.
	PriorityScheduling bool
	// FirstStart means that all instances of the fleet start for the first time, so that no caller is waiting.
	FirstStart bool
}

// Options sets the dependencies of an instance. All fields but Boot must be set.
type Options struct {
	Settings Settings
	Store    Store
	Promoter Promoter
	Decoder  view.Decoder
	Dialer   statement.Dialer
	Metrics  *metric.Registry
	Log      *slog.Logger
	Boot     func() time.Duration // clock that continues while the machine is suspended; nil for that of the machine
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
	pools       *pools
	readIndexes *readIndexes
	failover    *failover
	replicaSets *replicaSets
	gossip      *gossip
	environment callersession.Environment

	prefix         string // of session ids
	sessions       atomic.Uint64
	readsUntil     atomic.Int64 // reading of boot until which this instance reads the store itself
	endingSessions atomic.Bool
	shutdown       atomic.Pointer[shutdown] // nil unless the process is about to end
	stopLoops      context.CancelFunc
	loops          sync.WaitGroup
}

// rateTokenTimeout is how long an operation waits for a rate token. A longer wait is worth less to a caller than a refusal
// that names the time to retry.
const rateTokenTimeout = 140 * time.Millisecond

// loopRestartDelay is the pause before a loop of the instance that panicked starts again.
const loopRestartDelay = time.Second

// startupTimeout is how long a new caller waits for the initial state of an instance that has just started. Callers give up
// after 2 s.
const startupTimeout = 1200 * time.Millisecond

// Start starts an instance. It returns before the instance is ready. It fails if the address for other instances cannot be
// listened on.
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
	n.table = view.NewTable(self, o.Settings.Regions, rowDecoder{o.Decoder, n.observer}, n.observer)
	n.rates = newRates(n)
	n.pools = newPools(n)
	n.readIndexes = newReadIndexes(n)
	n.failover = newFailover(n)
	n.replicaSets = newReplicaSets(n)
	n.gossip = newGossip(n)
	n.dispatcher = dispatch.New(n.table, n.pools, dispatch.Options{
		Boot: n.boot, Observer: n.observer, PriorityScheduling: o.Settings.PriorityScheduling,
	})
	n.limiter = allotment.NewLimiter(n.rates, n.rates.totalSettings, allotment.Options{
		RateWait: rateTokenTimeout, HomeWait: 2 * rateTokenTimeout, ByPriority: o.Settings.PriorityScheduling,
	})
	n.environment = callersession.Environment{
		Configuration: n.table.Configuration, ConfigurationFresh: n.configurationFresh, Dispatcher: n.dispatcher, Limiter: rateLimiter{n.rates},
		Priorities: o.Settings.PriorityScheduling,
		Observer:   n.observer, Draining: n.endingSessions.Load, Stopping: n.endsWithin,
	}
	n.server = relay.NewServer(n.limitRelayed(relay.NewHandler(&services{n}, n.boot), o.Settings.MemoryBytes))
	ctx, cancel := context.WithCancel(context.Background())
	n.stopLoops = cancel
	n.spawn(func() { _ = n.server.Serve(listener) })
	for _, loop := range []func(context.Context){
		n.readMembers, n.readConfiguration, n.readServers, n.gossip.run, n.pools.run, n.readIndexes.run, n.failover.run,
	} {
		n.spawn(func() { n.keepRunning(ctx, loop) })
	}
	n.log.Info("started", "instance", self.Name, "place", self.Place, "peers", self.Address)
	return n, nil
}

// keepRunning runs a loop until the context ends, and starts it again after a panic.
func (n *Node) keepRunning(ctx context.Context, loop func(context.Context)) {
	once := func() {
		defer recovery.Catch(n.observer.panicked("loop"))
		loop(ctx)
	}
	for once(); ctx.Err() == nil && clock.Sleep(ctx, loopRestartDelay); {
		once()
	}
}

// spawn runs a function in the background. Stop waits for its end.
func (n *Node) spawn(f func()) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		f()
	}()
}

// Session starts a session of a caller on a database. It returns nil and the refusal if the key, the database or the state
// of the instance does not permit one.
func (n *Node) Session(database, key string) (*callersession.Session, statement.Answer) {
	for end := n.boot() + startupTimeout; !n.hasInitialState() && n.boot() < end; {
		time.Sleep(startupPollInterval)
	}
	id := n.prefix + strconv.FormatUint(n.sessions.Add(1), 36)
	return callersession.Start(n.environment, id, database, key)
}

// hasInitialState reports whether the instance has the configuration, and the member list or no hope of it.
func (n *Node) hasInitialState() bool {
	return n.table.Configuration().Version > 0 && !n.awaitsMembers(n.boot())
}

// awaitsMembers reports whether the instance still waits for its first member list, which it does until it has had the
// configuration for joinTimeout. Without the list it would take itself for the only one and connect to all servers. When
// the store returns after an outage in which all instances restarted, each of them would do so.
func (n *Node) awaitsMembers(now time.Duration) bool {
	configuration, members := n.table.FirstReads()
	return members == 0 && (configuration == 0 || now-configuration < joinTimeout)
}

// configurationFresh reports whether the configuration is recent enough to admit callers.
func (n *Node) configurationFresh() bool {
	read, _, _ := n.table.ReadTimes()
	limit := n.settings.MaxConfigurationAge
	if read == 0 || limit == 0 {
		return read > 0
	}
	return n.boot()-read <= limit
}

// Ready reports whether the instance can serve callers.
func (n *Node) Ready() bool {
	if n.endingSessions.Load() || n.table.Self().Leaving {
		return false
	}
	configuration, servers, _ := n.table.ReadTimes()
	return configuration > 0 && servers > 0 && n.gossip.joined()
}

// IsCoordinator reports whether this instance is the coordinator of its place.
func (n *Node) IsCoordinator() bool { return n.gossip.isCoordinator() }

// Leave announces to the other instances that this one is about to stop. Its sessions and transactions continue.
func (n *Node) Leave() {
	n.table.Leave()
	n.log.Info("leaving")
	n.gossip.notifyCoordinators()
}

// EndSessions makes each session end as soon as no operation or transaction of it is open.
func (n *Node) EndSessions() { n.endingSessions.Store(true) }

// shutdown is a planned stop, in readings of the instance's clock.
type shutdown struct {
	acceptUntil time.Duration // statements are accepted whatever their timeout
	end         time.Duration // statements that are still running are given up
}

// answerMargin is the time that a statement may take beyond its timeout: the wait for a rate token and the way of its
// answer to the caller.
const answerMargin = 300 * time.Millisecond

// StopWithin announces that the process ends within a time. Statements are accepted whatever their timeout for acceptAll,
// and after that only if they reach their timeout before the end. Others are refused at once.
func (n *Node) StopWithin(acceptAll, remaining time.Duration) {
	now := n.boot()
	n.shutdown.Store(&shutdown{acceptUntil: now + acceptAll, end: now + remaining})
}

// endsWithin reports whether the process may end before a statement with the given timeout is answered.
func (n *Node) endsWithin(timeout time.Duration) bool {
	s := n.shutdown.Load()
	if s == nil {
		return false
	}
	now := n.boot()
	return now >= s.acceptUntil && now+timeout+answerMargin > s.end
}

// OpenTransactions returns the number of open transactions and unfinished statements on the servers that this instance
// holds.
func (n *Node) OpenTransactions() int { return n.pools.openTransactions() }

// Stop ends the background work and closes all connections.
func (n *Node) Stop() {
	n.stopLoops()
	_ = n.server.Close()
	n.pools.closeAll()
	n.client.Close()
	n.loops.Wait()
	n.log.Info("stopped")
}
