package property_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"tanagercross/internal/session/outcome"
	"tanagercross/internal/tool/deployment"
	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

// Guards P1: a driver who has just booked a meal must not see the count without it at another instance. One replica
// lags; a caller without a session token does see old state there, which shows that the lag is effective.
func TestReadYourWritesAtAnyInstance(t *testing.T) {
	t.Parallel()
	r := newTrial(t, shared(t))
	r.replicas()[r.random.IntN(2)].SetLag(400 * time.Millisecond)
	wait := r.offer(4*time.Second, func(o *load.Options) { o.WriteShare, o.TransactionShare = 0.4, 0.2 })
	c, behind := r.caller(organisations[0]), 0
	for n := range 15 {
		id, instance := newID(), n%len(r.Instances)
		a := c.write(t.Context(), instance, id)
		if a.Outcome != outcome.Done {
			continue
		}
		c.token = a.SessionToken
		other := *c
		other.token = ""
		control := other.send(t.Context(), instance, c.path(), newID(), c.tagged("read", load.ReadSQL, id))
		if control.ServedBy == "replica" && len(control.Rows) < n+2 {
			behind++
		}
		next := (instance + 1) % len(r.Instances)
		if got, seen := c.read(t.Context(), next, newID()); got.Outcome == outcome.Done && !slices.Contains(seen, id) {
			t.Errorf("the write at instance %d is missing at instance %d, read by the %s", instance, next, got.ServedBy)
		}
	}
	wait()
	if behind == 0 {
		t.Error("no replica was behind, so that the test shows nothing")
	}
	r.verify(20)
}

// Guards P2: a primary that is cut from its replicas still takes writes, which its replacement never gets. None of them
// may be acknowledged, neither while it is cut nor after the cut has ended.
func TestNoAcknowledgementByReplacedPrimary(t *testing.T) {
	t.Parallel()
	r := newTrial(t, shared(t))
	wait := r.offer(7*time.Second, func(o *load.Options) { o.WriteShare, o.TransactionShare = 0.9, 0.3 })
	time.Sleep(time.Second)
	old := r.primary(nil)
	r.isolate(old, true)
	r.primary(old)
	abandoned := r.contents(old)
	time.Sleep(500 * time.Millisecond)
	r.isolate(old, false)
	wait()
	r.verify(20)
	final := map[ledger.Tag]bool{}
	for _, c := range r.contents(r.primary(nil)) {
		final[c.Tag] = true
	}
	abandoned = slices.DeleteFunc(abandoned, func(c ledger.Content) bool { return final[c.Tag] })
	t.Logf("%d writes of the old primary are not on the new one", len(abandoned))
	if len(abandoned) == 0 {
		t.Error("the old primary took no write that was abandoned, so that the test shows nothing")
	}
}

// Guards P3: statements of one transaction must never run in another one, also when transactions of several sessions share
// pooled connections, are rolled back, abandoned or cancelled, and when a caller names a transaction of another session.
func TestTransactionsDoNotMix(t *testing.T) {
	t.Parallel()
	r := newTrial(t, shared(t))
	wait := r.offer(4*time.Second, func(o *load.Options) {
		o.WriteShare, o.TransactionShare = 0.8, 1
		for i := range o.Organisations {
			o.Organisations[i].Sessions = 1 // the stand-in runs one write transaction of an organisation at a time
		}
	})
	var all sync.WaitGroup
	for i, organisation := range organisations {
		all.Go(func() { r.interleave(organisation, i) })
	}
	all.Wait()
	wait()
	r.verify(15)
}

// interleave runs transactions of an organisation of which only some are committed, each with its own tag, and tries to
// use them from another session and another organisation.
func (r *trial) interleave(organisation string, offset int) {
	ctx := context.Background()
	for n := range 9 {
		c, instance := r.caller(organisation), (n+offset)%len(r.Instances)
		id, started := newID(), time.Now()
		begun := c.begin(ctx, instance)
		if begun.Outcome != outcome.Done {
			continue
		}
		inserting, cancel := context.WithTimeout(ctx, time.Minute)
		if n%3 == 2 { // the caller gives up before the answer
			cancel()
			inserting, cancel = context.WithTimeout(ctx, time.Duration(6+n)*time.Millisecond)
		}
		inserted := c.step(inserting, (instance+1)%len(r.Instances), begun.Transaction, load.InsertSQL, id)
		cancel()
		for _, other := range []string{organisation, organisations[(offset+1)%len(organisations)]} {
			foreign := r.caller(other)
			a := foreign.step(ctx, instance, begun.Transaction, load.InsertSQL, newID())
			if a.Outcome != outcome.NotRunOutcome {
				r.t.Errorf("a foreign session ran a statement in the transaction: %s %s", a.Outcome, a.Reason)
			}
			a = foreign.end(ctx, instance, begun.Transaction, "commit", newID())
			if a.Outcome == outcome.Done {
				r.t.Error("a foreign session committed the transaction")
			}
		}
		a := answer{Outcome: outcome.NotRunOutcome, Reason: inserted.Reason}
		if inserted.Outcome == outcome.Done && n%3 == 0 {
			a = c.end(ctx, instance, begun.Transaction, "commit", id)
		} else {
			c.end(ctx, instance, begun.Transaction, "rollback", newID())
		}
		c.record(ledger.Write, id, a, started, nil)
	}
}

// Guards P8: answers that arrive late, in another order, or after their caller has gone must not reach another caller.
// Callers cancel at random moments over links with latency, and the databases hold the answers of all their clients back for
// short times, so that pooled connections have late answers.
func TestAnswersBelongToTheirRequest(t *testing.T) {
	t.Parallel()
	r := newTrial(t, shared(t))
	wait := r.offer(4*time.Second, func(o *load.Options) { o.WriteShare = 0.2 })
	stop := make(chan struct{})
	var all sync.WaitGroup
	var cancelled sync.Map
	for i, organisation := range organisations {
		limits := make([]time.Duration, 200)
		for n := range limits {
			limits[n] = time.Duration(6+r.random.IntN(25)) * time.Millisecond
		}
		for range 3 {
			c := r.caller(organisation)
			all.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					ctx, cancel := context.WithTimeout(t.Context(), limits[n%len(limits)])
					id := newID()
					if a, _ := c.read(ctx, (n+i)%len(r.Instances), id); a.Reason == outcome.AnswerLost {
						cancelled.Store(id, true)
					}
					cancel()
				}
			})
		}
	}
	r.delayAnswers(25)
	close(stop)
	all.Wait()
	wait()
	n := 0
	cancelled.Range(func(any, any) bool { n++; return true })
	t.Logf("%d cancelled reads", n)
	if n < 20 {
		t.Errorf("%d cancelled reads say nothing", n)
	}
	r.verify(5)
}

// delayAnswers holds answers of the group's servers back for short times.
func (r *trial) delayAnswers(times int) {
	servers := append([]*deployment.Database{r.primary(nil)}, r.replicas()...)
	for range times {
		db := servers[r.random.IntN(len(servers))]
		db.SetClientCut(cutOutbound)
		time.Sleep(time.Duration(20+r.random.IntN(60)) * time.Millisecond)
		db.SetClientCut(cutNothing)
		time.Sleep(time.Duration(20+r.random.IntN(60)) * time.Millisecond)
	}
}
