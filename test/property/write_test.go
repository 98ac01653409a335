package property_test

import (
	"sync"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/failover"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/standin/database"
	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

var (
	cutNothing  = database.Cut{}
	cutOutbound = database.Cut{Outbound: true}
	cutInbound  = database.Cut{Inbound: true}
)

// Guards P9: a caller that is told "not run" books again, so that a write that ran after all is doubled. Answers of
// commits are lost, statements arrive late, deadlines are short, and the primary is killed.
func TestNotRunMeansNotRun(t *testing.T) {
	t.Parallel()
	r := newTrial(t, shared(t))
	wait := r.offer(7*time.Second, func(o *load.Options) {
		o.WriteShare, o.TransactionShare, o.Deadline, o.Attempts = 0.9, 0.3, 250*time.Millisecond, 1
	})
	for n := range 12 {
		db := r.primary(nil)
		switch n % 3 {
		case 0:
			db.DropNextCommitAnswer()
		case 1:
			db.SetClientCut(cutInbound)
		case 2:
			db.SetClientCut(cutOutbound)
		}
		time.Sleep(time.Duration(100+r.random.IntN(200)) * time.Millisecond)
		db.SetClientCut(cutNothing)
	}
	r.kill()
	wait()
	if report := r.verify(20); report.NotRun == 0 || report.Unknown == 0 {
		t.Errorf("%d not_run and %d unknown requests say nothing", report.NotRun, report.Unknown)
	}
}

// Guards P10: a booking that is repeated, because its answer was lost or because a caller sends it at two instances at the
// same time, must be there once, also when the primary changes between the attempts.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	r := newTrial(t, shared(t))
	wait := r.offer(7*time.Second, func(o *load.Options) { o.WriteShare, o.TransactionShare = 0.9, 0.2 })
	killed := time.Now().Add(3 * time.Second)
	replayed := 0
	for n := 0; time.Since(killed) < 4*time.Second; n++ {
		if r.failed == nil && time.Now().After(killed) {
			r.kill()
		}
		if r.failed == nil && n%2 == 0 {
			r.primary(nil).DropNextCommitAnswer()
		}
		for _, a := range r.duplicates(n) {
			if a.Replayed {
				replayed++
			}
		}
	}
	wait()
	t.Logf("%d answers from a record", replayed)
	if replayed == 0 {
		t.Error("no request was answered from a record, so that the test shows nothing")
	}
	r.verify(20)
}

// duplicates sends one write at two instances at the same time.
func (r *trial) duplicates(n int) [2]answer {
	c, id := r.caller(organisations[n%len(organisations)]), newID()
	var answers [2]answer
	var both sync.WaitGroup
	for i := range answers {
		both.Go(func() { answers[i] = c.write(r.t.Context(), (n+i)%len(r.Instances), id) })
	}
	both.Wait()
	return answers
}

// Guards P11: a server that the list marks as leaving must get no work after a few seconds, while its open transactions
// finish; a leaving primary is replaced first.
func TestLeavingDatabaseGetsNoNewWork(t *testing.T) {
	t.Parallel()
	r := newTrial(t, shared(t))
	wait := r.offer(10*time.Second, func(o *load.Options) { o.WriteShare, o.TransactionShare = 0.5, 0.3 })
	time.Sleep(500 * time.Millisecond)
	old, replica := r.primary(nil), r.replicas()[0]
	c, id, started := r.caller(organisations[0]), newID(), time.Now()
	begun := c.begin(t.Context(), 0)
	if begun.Outcome != outcome.Done {
		t.Fatalf("begin: %s %s", begun.Outcome, begun.Reason)
	}
	for _, db := range []string{old.Config.Name, replica.Config.Name} {
		r.Platform.SetServerLeaving(db, true)
	}
	marked := time.Now()
	time.Sleep(1200 * time.Millisecond) // the list has been read, and the transaction has had other work after it
	if a := c.step(t.Context(), 1, begun.Transaction, load.InsertSQL, id); a.Outcome != outcome.Done && time.Since(marked) < failover.LeavingGracePeriod {
		t.Errorf("statement of the open transaction: %s %s", a.Outcome, a.Reason)
	}
	committed := c.end(t.Context(), 2, begun.Transaction, "commit", id)
	c.record(ledger.Write, id, committed, started, nil)
	if committed.Outcome != outcome.Done && time.Since(marked) < failover.LeavingGracePeriod {
		t.Errorf("commit of the open transaction: %s %s", committed.Outcome, committed.Reason)
	}
	r.until("replacement of the leaving primary", func() bool { return old.Status().Role != driver.Primary })
	replaced := time.Since(marked)
	time.Sleep(time.Second) // for the instances to learn it, and for work that was queued
	before := []uint64{old.Statements(), replica.Statements()}
	wait()
	if after := []uint64{old.Statements(), replica.Statements()}; after[0] != before[0] || after[1] != before[1] {
		t.Errorf("statements of the leaving servers went from %d to %d", before, after)
	}
	t.Logf("replaced %s after the mark", replaced.Round(time.Millisecond))
	r.verify(20)
}
