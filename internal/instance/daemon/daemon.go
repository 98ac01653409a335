// Package daemon runs one instance: it wires the decision packages to the adapters and runs their loops.
//
// # Usage
//
//	d, err := daemon.Start(ctx, daemon.Options{Settings: settings, Log: logger})
//	if err != nil {
//		return err
//	}
//	<-ctx.Done()
//	err = d.Stop(context.Background()) // drains
//
// Each loop owns its tables and takes typed events from a box. What requests need of them is published as immutable
// snapshots.
package daemon

import (
	"context"
	"iter"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/group"
	"tanagercross/internal/database/lane"
	"tanagercross/internal/database/pool"
	"tanagercross/internal/database/postgres"
	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/lease"
	"tanagercross/internal/fleet/peer"
	"tanagercross/internal/instance/api"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/instance/event"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/instance/operator"
	"tanagercross/internal/instance/settings"
	"tanagercross/internal/organisation/allotment"
	"tanagercross/internal/organisation/fairness"
	"tanagercross/internal/request/execution"
	"tanagercross/internal/service/rest"
	"tanagercross/internal/service/store"
	"tanagercross/internal/session/token"
)

const (
	// broadcastPeers bounds the calls of one broadcast; the exchange carries the news to the others.
	broadcastPeers = 32
	// leaveWait lets the other members learn that the instance is leaving before it refuses work.
	leaveWait = 500 * time.Millisecond
)

// bodiesMemoryShare is the part of the memory of the machine for long request bodies.
const bodiesMemoryShare = 4

var errNoAddress = eris.New("the address of the member is not known")

// Options configure an instance. The zero values of all but Settings have defaults.
type Options struct {
	Settings  settings.Settings
	Log       *slog.Logger
	Store     store.Store
	Connector driver.Connector
	Clock     clock.Clock
	// Dial opens connections to other instances, to databases and to the platform; nil is plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Daemon is a running instance.
type Daemon struct {
	settings    settings.Settings
	log         *slog.Logger
	clock       clock.Clock
	store       store.Store
	connector   driver.Connector
	client      *peer.Client
	metric      *metric.Registry
	pool        *pool.Pool
	engine      *execution.Engine
	fleet       *fleet
	table       *group.Table
	rates       rates
	liveness    liveness
	evidence    evidenceTable
	history     history
	reaching    singleflight.Group
	incarnation uint64
	address     string // for other instances

	tableEvents event.Box[tableEvent]
	laneEvents  event.Box[laneEvent]
	watchCount  atomic.Uint64
	draining    atomic.Bool
	polled      atomic.Bool
	running     atomic.Int64

	callers, operators *serving
	peers              *serving
	stop               context.CancelFunc
	tasks              sync.WaitGroup
}

// Start starts an instance. It serves until Stop.
func Start(ctx context.Context, o Options) (*Daemon, error) {
	d, err := build(o)
	if err != nil {
		return nil, err
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	ctx, d.stop = context.WithCancel(context.WithoutCancel(ctx))
	loops := []func(context.Context){
		d.runExchange, d.runPoll, d.runTable, d.runWatches, d.runLanes, d.runLeases, d.runJoin, d.runRemoval,
		d.runRecords,
	}
	for _, loop := range loops {
		d.spawn(func() { loop(ctx) })
	}
	d.callers.start(d)
	d.peers.start(d)
	d.operators.start(d)
	d.log.Info("instance started", "name", d.settings.Name, "place", d.settings.Place, "callers", d.CallersAddress(),
		"peers", d.address, "operators", d.OperatorsAddress())
	return d, nil
}

func build(o Options) (*Daemon, error) {
	s := o.Settings
	d := &Daemon{
		settings: s, log: o.Log, clock: o.Clock, store: o.Store, connector: o.Connector, metric: metric.New(),
		table: group.NewTable(), incarnation: uint64(time.Now().UnixNano()),
	}
	if d.log == nil {
		d.log = slog.New(slog.DiscardHandler)
	}
	if d.clock == nil {
		d.clock = clock.NewReal()
	}
	if d.store == nil {
		d.store = rest.New(s.PlatformURL.String(), rest.Options{Dial: o.Dial})
	}
	if d.connector == nil {
		d.connector = postgres.Connector{
			Dial: o.Dial, User: s.DatabaseUser, Database: s.DatabaseName, Password: s.DatabaseSecret.Reveal(),
		}
	}
	secrets := make([][]byte, 0, len(s.FleetSecrets))
	for _, secret := range s.FleetSecrets {
		secrets = append(secrets, []byte(secret.Reveal()))
	}
	signer, err := token.NewSigner(secrets...)
	if err != nil {
		return nil, err
	}
	d.client = peer.NewClient(secrets[0], o.Dial)
	d.rates = rates{holder: lease.NewHolder(s.Name, d.incarnation&(1<<48-1)), voter: lease.NewVoter()}
	d.fleet = newFleet(exchange.Params{
		Self: s.Name, Incarnation: d.incarnation, Seed: rand.Uint64(), Check: d.checkChange,
	}, s.Place, d.clock.Now)
	d.fleet.onChange = d.documentsChanged
	d.fleet.onFault = func(err error) { d.log.Error("document cannot be read", "error", err.Error()) }
	d.pool = pool.New(d.connector, pool.Options{Fairness: fairness.Options{
		PrefetchSlots: statementsAhead, Share: d.shareOf,
	}, TransactionLimits: d.transactionLimits, OnLaneLost: func(h pool.LaneID) {
		d.log.Warn("lane lost", "server", h.Server, "lane", h.Lane)
		d.laneEvents.Put(laneLost{lane: lane.Lane{Server: h.Server, Number: h.Lane}})
	}})
	d.engine = execution.New(execution.Ports{
		Keys: keys{d}, Freshness: d.fleet, Rates: allotment.NewLimiter(d, d.rateOf, allotment.Options{}),
		Configuration: versions{d}, Signer: signer, Groups: groups{d}, Performer: performer{d},
		Clock: wall{d.clock}, Counter: counter{d.metric}, Place: s.Place,
	}, execution.Options{})
	callers := api.New(executor{d}, api.Options{
		Log: d.log, Metric: d.metric, ReadTimeout: s.ReadTimeout, WriteTimeout: s.WriteTimeout,
		IdleTimeout: s.IdleTimeout, MaxConnections: s.MaxConnections,
		BodyBytes: int64(s.MemoryMB) << 20 / bodiesMemoryShare,
	})
	d.callers = &serving{server: callers}
	d.metric.Collect(d.gauges(callers.OpenConnections))
	d.operators = &serving{server: operator.NewServer(control{d}, operator.Options{
		Secret: s.OperatorSecret.Reveal(), Log: d.log, Metrics: d.metric.Handler(),
	})}
	d.peers = &serving{server: peerServer{peer.NewServer(peer.NewHandler(secrets[0], services{d}, secrets[1:]...))}}
	return d, nil
}

// documentsChanged reacts to a new version of a document. It is called with the fleet's lock held.
func (d *Daemon) documentsChanged(before, after *snapshot) {
	d.metric.Version(metric.RosterVersion, after.roster.Version())
	d.metric.Version(metric.ConfigurationVersion, after.configurationVersion)
	d.metric.Version(metric.KeysVersion, after.keysVersion)
	d.metric.Version(metric.GroupsVersion, after.groupsVersion)
	if after.roster.Version() != before.roster.Version() {
		d.liveness.retain(func(name string) bool { _, ok := after.roster.Index(name); return ok })
	}
	if after.groupsVersion != before.groupsVersion {
		d.tableEvents.Put(listed{groups: after.groups})
		d.presentServers(after)
	}
	if after.keysVersion != before.keysVersion {
		d.endWithdrawn(after)
	}
	if after.configurationVersion != before.configurationVersion {
		d.log.Info("configuration in force", "version", after.configurationVersion)
		d.history.note(before, after, d.fleet.state.Documents().Get(document.Configuration).Origins)
	}
}

// endWithdrawn ends the work of keys that were withdrawn.
func (d *Daemon) endWithdrawn(after *snapshot) {
	for _, e := range after.keys.Entries() {
		if e.WithdrawnAt != nil {
			d.pool.WithdrawKey(e.Hash.String())
		}
	}
}

// ticks yields at each tick of the timer service until the context ends.
func (d *Daemon) ticks(ctx context.Context, period time.Duration) iter.Seq[time.Time] {
	return func(yield func(time.Time) bool) {
		ticks, cancel := d.clock.Subscribe(period)
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				return
			case now, ok := <-ticks:
				if !ok || !yield(now) {
					return
				}
			}
		}
	}
}

// spawn runs a task that Stop waits for.
func (d *Daemon) spawn(f func()) {
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		f()
	}()
}

func (d *Daemon) addressOf(member string) string {
	m, ok := d.fleet.view().roster.Member(member)
	if !ok {
		return ""
	}
	return m.Address
}

func (d *Daemon) jitter(most time.Duration) time.Duration { return rand.N(most) }

func (d *Daemon) wait(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// wall is the clock of the entry path.
type wall struct{ clock.Clock }

// Sleep implements execution.Clock.
func (wall) Sleep(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// peerServer gives the HTTP server of the peers the form of the other servers.
type peerServer struct{ *http.Server }

// Serve serves until Shutdown and returns nil then.
func (s peerServer) Serve(l net.Listener) error {
	if err := s.Server.Serve(l); !eris.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
