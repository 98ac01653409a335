package experiment

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/postgres"
	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

const (
	latencyWarmUp = 50
	awaitLimit    = 5 * time.Second
)

// pair is an action without and with the proxy.
type pair struct {
	name    string
	bounded bool
	action  [2]func(context.Context) error
	ms      [2][]float64
}

// latencyBench holds the two ways to the databases.
type latencyBench struct {
	group          string
	direct         [2]*pgconn.PgConn // of the readers and of the writers
	recorded       driver.Conn
	reader, writer *load.Caller
	readers        string // organisation of the reads
	writers        string
}

func latency(ctx context.Context, x *run) error {
	p := x.profile().WithServiceTime(0)
	p.PlainNetwork = true
	if err := x.startPrepared(ctx, p); err != nil {
		return err
	}
	if err := x.configure(ctx, 0, unlimitedRates); err != nil {
		return err
	}
	x.condition("plain loopback, no service time, one caller, reads and writes alternate with direct ones")
	b, err := x.openLatencyBench(ctx)
	if err != nil {
		return err
	}
	defer b.close()
	pairs := []*pair{
		{name: "read", bounded: true, action: [2]func(context.Context) error{b.directRead, proxied(b.reader.Read, b.group)}},
		{name: "write", bounded: true, action: [2]func(context.Context) error{b.directWrite, proxied(b.writer.Write, b.group)}},
		{name: "recorded_write", action: [2]func(context.Context) error{b.directRecorded, proxied(b.writer.Write, b.group)}},
	}
	for n := range latencyWarmUp + x.options.Runs {
		for _, p := range pairs {
			if err := p.measure(ctx, n); err != nil {
				return err
			}
		}
	}
	x.result.Plot = Plot{Title: "Latency over a direct connection and through the proxy", XLabel: "% of requests", YLabel: "ms"}
	for _, p := range pairs {
		x.addLatency(p)
	}
	return nil
}

// measure runs both actions, in alternating order, so that neither always finds warmer caches.
func (p *pair) measure(ctx context.Context, n int) error {
	for i := range p.action {
		way := (i + n) % len(p.action)
		started := time.Now()
		if err := p.action[way](ctx); err != nil {
			return eris.Wrap(err, p.name)
		}
		if n >= latencyWarmUp {
			p.ms[way] = append(p.ms[way], float64(time.Since(started).Nanoseconds())/1e6)
		}
	}
	return nil
}

func (x *run) addLatency(p *pair) {
	var bound *Target
	if p.bounded {
		bound = atMost(1)
	}
	x.result.add(p.name+"_direct_median", median(p.ms[0]), "ms", nil)
	x.result.add(p.name+"_direct_p99", quantile(p.ms[0], 0.99), "ms", nil)
	x.result.add(p.name+"_proxy_median", median(p.ms[1]), "ms", nil)
	x.result.add(p.name+"_proxy_p99", quantile(p.ms[1], 0.99), "ms", nil)
	x.result.add(p.name+"_added_median", median(p.ms[1])-median(p.ms[0]), "ms", bound)
	x.result.add(p.name+"_added_p99", quantile(p.ms[1], 0.99)-quantile(p.ms[0], 0.99), "ms", nil)
	x.say("%s: median %.3f ms directly, %.3f ms through the proxy", p.name, median(p.ms[0]), median(p.ms[1]))
	if !p.bounded {
		return
	}
	for i, way := range []string{"direct", "proxy"} {
		// The highest percent would stretch the axis.
		s := distribution(p.name+", "+way, p.ms[i])
		s.Points = s.Points[:len(s.Points)*99/100]
		x.result.Plot.Series = append(x.result.Plot.Series, s)
	}
}

func (x *run) openLatencyBench(ctx context.Context) (*latencyBench, error) {
	group := x.groups()[0]
	primary, err := x.awaitPrimary(ctx, group)
	if err != nil {
		return nil, err
	}
	names := x.options.Profile.Organisations
	b := &latencyBench{group: group, readers: names[0], writers: names[1]}
	for i, organisation := range names[:len(b.direct)] {
		if b.direct[i], err = pgconn.Connect(ctx, "postgres://experiment@"+primary.Addr()+"/experiment?sslmode=disable"); err != nil {
			return nil, eris.Wrap(err, "direct connection")
		}
		if _, err := b.direct[i].Exec(ctx, "SET organisation = '"+organisation+"'").ReadAll(); err != nil {
			return nil, eris.Wrap(err, "organisation")
		}
	}
	server := driver.Server{Name: primary.Config.Name, Group: group, Address: primary.Addr()}
	if b.recorded, err = (postgres.Connector{}).Connect(ctx, server); err != nil {
		return nil, err
	}
	for i, caller := range []**load.Caller{&b.reader, &b.writer} {
		o := x.load(1, 1)
		o.Organisations = o.Organisations[i : i+1]
		if *caller, err = load.NewCaller(o, &ledger.Ledger{}); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (b *latencyBench) close() {
	for _, c := range b.direct {
		_ = c.Close(context.Background())
	}
	b.recorded.Close()
	b.reader.Close()
	b.writer.Close()
}

func proxied(action func(context.Context, string) (time.Duration, bool), group string) func(context.Context) error {
	return func(ctx context.Context) error {
		if _, done := action(ctx, group); !done {
			return eris.New("a request through the proxy was not done")
		}
		return nil
	}
}

func execute(ctx context.Context, c *pgconn.PgConn, sql string, arguments ...string) error {
	values := make([][]byte, 0, len(arguments))
	for _, a := range arguments {
		values = append(values, []byte(a))
	}
	return eris.Wrap(c.ExecParams(ctx, sql, values, nil, nil, nil).Read().Err, "statement")
}

func (b *latencyBench) directRead(ctx context.Context) error {
	return execute(ctx, b.direct[0], load.ReadSQL, b.readers, "direct", uuid.NewString())
}

func (b *latencyBench) directWrite(ctx context.Context) error {
	return execute(ctx, b.direct[1], load.InsertSQL, b.writers, "direct", uuid.NewString())
}

// firstTerm is the term of a group whose primary was never changed.
const firstTerm = 1

// directRecorded does what the proxy does for a write: the record of the request and the wait for a majority.
func (b *latencyBench) directRecorded(ctx context.Context) error {
	id, err := uuid.NewV7()
	if err != nil {
		return eris.Wrap(err, "request id")
	}
	session, text := "direct", id.String()
	result, err := b.recorded.Write(ctx, b.writers, firstTerm, driver.Record{RequestID: text, Fingerprint: text},
		driver.Statement{SQL: load.InsertSQL, Arguments: []*string{&b.writers, &session, &text}})
	if err != nil {
		return err
	}
	return b.recorded.Await(ctx, result.Position, awaitLimit)
}
