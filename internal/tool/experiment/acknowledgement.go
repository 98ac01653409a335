package experiment

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/tool/deployment"
	"tanagercross/internal/tool/ledger"
)

const (
	// acknowledgementLag makes the time visible in which a write is only at the primary.
	acknowledgementLag = 10 * time.Millisecond
	namedPeriod        = 500 * time.Microsecond // between looks at the named replica
	steadyPart         = 3 * time.Second
	// separation is the time for which a primary acknowledges alone, if it may, before it dies.
	separation = 200 * time.Millisecond
)

// way is a way to acknowledge a write.
type way string

const (
	atPrimary    way = "primary"
	namedReplica way = "named_replica"
	byMajority   way = "majority" // the product's
)

// connector replaces Await of its connections.
type connector struct {
	driver.Connector
	way        way
	deployment *deployment.Deployment
}

// Connect implements driver.Connector.
func (c connector) Connect(ctx context.Context, s driver.Server) (driver.Conn, error) {
	conn, err := c.Connector.Connect(ctx, s)
	if err != nil {
		return nil, err
	}
	return awaiting{Conn: conn, connector: c, server: s}, nil
}

type awaiting struct {
	driver.Conn
	connector connector
	server    driver.Server
}

// Await implements driver.Conn.
func (a awaiting) Await(ctx context.Context, p driver.Position, timeout time.Duration) error {
	switch a.connector.way {
	case atPrimary:
		return nil
	case namedReplica:
		return a.awaitNamed(ctx, p, timeout)
	}
	return a.Conn.Await(ctx, p, timeout)
}

// awaitNamed waits until the next server of the group holds the position. It looks at the stand-in itself, since a
// primary does not report single replicas.
func (a awaiting) awaitNamed(ctx context.Context, p driver.Position, timeout time.Duration) error {
	named := nextServer(a.connector.deployment, a.server)
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && ctx.Err() == nil; pause(ctx, namedPeriod) {
		if last := a.connector.deployment.StatusOf(named).Last; last.Term == p.Term && last.Compare(p) >= 0 {
			return nil
		}
	}
	return &driver.Error{Operation: "await", Kind: driver.NotReplicated, Err: eris.New("the named replica did not confirm")}
}

func nextServer(d *deployment.Deployment, s driver.Server) *deployment.Database {
	var servers []*deployment.Database
	at := 0
	for _, db := range d.Databases {
		if db.Config.Name == s.Name {
			at = len(servers)
		}
		if db.Group == s.Group {
			servers = append(servers, db)
		}
	}
	return servers[(at+1)%len(servers)]
}

func acknowledgement(ctx context.Context, x *run) error {
	x.condition("replication lag 10 ms, only writes; primaries, cut from their replicas for 200 ms, and the next replicas are killed in turn")
	x.result.Plot = Plot{Title: "Write latency by way of acknowledgement", XLabel: "% of writes", YLabel: "ms"}
	base := 0.0
	for _, w := range []way{atPrimary, namedReplica, byMajority} {
		p := x.profile().WithLag(acknowledgementLag)
		p.WrapConnector = func(d *deployment.Deployment, c driver.Connector) driver.Connector {
			return connector{Connector: c, way: w, deployment: d}
		}
		if err := x.startPrepared(ctx, p); err != nil {
			return err
		}
		middle, err := x.measureWay(ctx, w)
		if err != nil {
			return eris.Wrap(err, string(w))
		}
		if w == atPrimary {
			base = middle
		}
		x.result.add(string(w)+"_added_median", middle-base, "ms", nil)
	}
	return nil
}

// measureWay measures steady latency, then kills servers, and returns the median latency of the steady part.
func (x *run) measureWay(ctx context.Context, w way) (float64, error) {
	o := x.load(15, 12)
	o.WriteShare = 1
	t := x.offer(ctx, o)
	from := time.Now()
	pause(ctx, steadyPart)
	var steady []float64
	for _, e := range between(x.ledger.Entries(), from, time.Now()) {
		if isDone(e) {
			steady = append(steady, milliseconds(e.Ended.Sub(e.Started)))
		}
	}
	gaps, named, err := x.killServers(ctx, w)
	if _, ended := t.end(); err == nil {
		err = ended
	}
	if err != nil {
		return 0, err
	}
	r, err := x.report(ctx, ledger.Parameters{})
	if err != nil {
		return 0, err
	}
	var lost *Target
	if w == byMajority {
		lost = atMost(0)
	}
	name := string(w)
	x.result.add(name+"_latency_median", median(steady), "ms", nil)
	x.result.add(name+"_latency_p99", quantile(steady, 0.99), "ms", nil)
	x.result.add(name+"_lost_writes", float64(r.Lost), "", lost)
	x.result.add(name+"_write_gap_median", median(gaps), "ms", nil)
	x.result.add(name+"_write_gap_worst", quantile(gaps, 1), "ms", nil)
	x.result.add(name+"_replica_death_write_gap_worst", quantile(named, 1), "ms", nil)
	x.result.Plot.Series = append(x.result.Plot.Series, distribution(name, steady))
	x.say("%s: median latency %.1f ms, %d of %d acknowledged writes lost, write gaps %.0f, of replicas %.0f", name, median(steady), r.Lost, r.Acknowledged,
		gaps, named)
	return median(steady), nil
}

// killServers kills the primary and the replica that follows it in turn, and returns the write gaps of both in ms. A
// primary loses its replicas shortly before it dies, as in a partition.
func (x *run) killServers(ctx context.Context, w way) (gaps, named []float64, err error) {
	group, random := x.groups()[0], x.random()
	for n := range x.options.Runs {
		pause(ctx, time.Duration(random.Int64N(jitterAtMost))*time.Millisecond)
		victim, err := x.awaitPrimary(ctx, group)
		if err != nil {
			return nil, nil, err
		}
		kind := &gaps
		at := time.Now()
		if n%2 == 1 {
			kind, victim = &named, nextServer(x.deployment, driver.Server{Name: victim.Config.Name, Group: group})
		} else {
			x.deployment.SetPeersCut(victim, true)
			pause(ctx, separation)
		}
		victim.Kill()
		gap := x.awaitGap(ctx, group, at)
		*kind = append(*kind, milliseconds(gap))
		x.say("%s, kill %d of %d: %s, write gap %.0f ms", w, n+1, x.options.Runs, victim.Config.Name, milliseconds(gap))
		if err := x.deployment.RestartDatabase(ctx, victim); err != nil {
			return nil, nil, err
		}
		if err := x.awaitWhole(ctx, group); err != nil {
			return nil, nil, err
		}
	}
	return gaps, named, ctx.Err()
}
