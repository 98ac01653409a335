package experiment

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/tool/ledger"
)

const replicaLag = 200 * time.Millisecond

func replicaReads(ctx context.Context, x *run) error {
	if err := x.startPrepared(ctx, x.profile().WithLag(replicaLag)); err != nil {
		return err
	}
	o := x.load(20, 8)
	x.condition("replication lag 200 ms, one write in ten requests, %.0f requests/s, session reads", 20*float64(len(o.Organisations)))
	from := time.Now()
	t := x.offer(ctx, o)
	pause(ctx, x.options.Duration)
	if _, err := t.end(); err != nil {
		return err
	}
	r, err := x.report(ctx, ledger.Parameters{})
	if err != nil {
		return err
	}
	x.result.add("replica_read_share", 100*r.ReplicaReadShare, "%", atLeast(90))
	entries := x.ledger.Entries()
	own, other := primaryReads(entries, replicaLag)
	x.result.add("primary_reads_after_own_write", float64(own), "", nil)
	x.result.add("primary_reads_otherwise", float64(other), "", nil)
	x.addFaults("", r)
	served := func(role driver.Role) func(ledger.Entry) bool {
		return func(e ledger.Entry) bool { return e.Kind == ledger.Read && isDone(e) && e.ServedBy == role }
	}
	x.result.Plot = Plot{
		Title: "Session reads by the server that answered", XLabel: "s", YLabel: "reads/s", Series: []Series{
			perPeriod("replica", entries, from, time.Second, served(driver.Replica)),
			perPeriod("primary", entries, from, time.Second, served(driver.Primary)),
		},
	}
	return nil
}

// primaryReads counts the reads that the primary served: those within the lag after the answer of a write of their
// session in the same group, and the others. Answers do not tell the reason.
func primaryReads(entries []ledger.Entry, lag time.Duration) (own, other int) {
	type scope struct{ session, group string }
	written := map[scope]time.Time{}
	for _, e := range entries {
		s := scope{e.Session, e.Group}
		switch {
		case e.Kind == ledger.Write && isDone(e):
			written[s] = e.Ended
		case e.Kind != ledger.Read || !isDone(e) || e.ServedBy != driver.Primary:
		case e.Started.Sub(written[s]) < lag:
			own++
		default:
			other++
		}
	}
	return own, other
}
