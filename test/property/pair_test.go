package property_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/tool/deployment"
	"tanagercross/internal/tool/load"
)

// Guards against an acknowledged booking that is lost, or doubled by its repetition, when the primary is killed just after
// it has committed without an answer.
func TestKilledPrimaryAndLostCommitAnswer(t *testing.T) {
	t.Parallel()
	r := newTrial(t, shared(t))
	wait := r.offer(7*time.Second, func(o *load.Options) { o.WriteShare, o.TransactionShare = 0.9, 0.3 })
	time.Sleep(time.Second)
	db := r.primary(nil)
	for range 3 {
		r.loseCommitAnswer(db)
	}
	time.Sleep(time.Duration(r.random.IntN(20)) * time.Millisecond)
	r.kill()
	r.primary(db)
	wait()
	r.verify(20)
}

// loseCommitAnswer waits until a commit took effect without an answer.
func (r *trial) loseCommitAnswer(db *deployment.Database) {
	db.DropNextCommitAnswer()
	last := db.Status().Last
	r.until("commit", func() bool { return db.Status().Last != last })
}

// Guards against the promotion of a replica that lacks acknowledged writes, and against reads from it.
func TestLaggingReplicaAndKilledPrimary(t *testing.T) {
	t.Parallel()
	r := newTrial(t, shared(t))
	far := r.replicas()[r.random.IntN(2)]
	far.SetLag(1500 * time.Millisecond)
	wait := r.offer(7*time.Second, func(o *load.Options) { o.WriteShare, o.TransactionShare = 0.6, 0.2 })
	time.Sleep(2 * time.Second)
	db := r.kill()
	if next := r.primary(db); next == far {
		t.Errorf("%s was promoted although it is far behind", far.Config.Name)
	}
	far.SetLag(0) // without it, no majority of the two servers left confirms in time
	wait()
	r.verify(20)
}

// Guards the same when instances fail too. The two pairs of faults follow each other on one deployment of five instances.
func TestFailedInstances(t *testing.T) {
	t.Parallel()
	b, err := start(profile(5, 2))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.ended.Wait(); b.Stop() })
	t.Run("frozen primary and dead holder", func(t *testing.T) {
		r := newTrial(t, b)
		wait := r.offer(7*time.Second, func(o *load.Options) { o.WriteShare, o.TransactionShare = 0.9, 0.3 })
		time.Sleep(time.Second)
		db := r.primary(nil)
		r.loseCommitAnswer(db)
		db.Freeze()
		b.end(t, b.holder(t, db))
		next := r.primary(db)
		r.until("acknowledged work at the new primary", func() bool { s := next.Status(); return s.ReplicatedIndex == s.Last.Index })
		r.isolate(db, true) // it wakes as primary and learns of its replacement only later
		db.Thaw()
		time.Sleep(500 * time.Millisecond)
		r.isolate(db, false)
		wait()
		r.verify(20)
		r.until("the old primary following", func() bool { return db.Status().Role == driver.Replica })
	})
	t.Run("cut between places and dead instance", func(t *testing.T) {
		r := newTrial(t, b)
		wait := r.offer(7*time.Second, func(o *load.Options) {
			o.WriteShare, o.TransactionShare, o.Deadline, o.Attempts = 0.9, 0.3, time.Second, 1
		})
		time.Sleep(time.Second)
		primary := r.primary(nil)
		number, others := b.holder(t, primary), []string{"agreste", "sertao", "litoral"}
		others = slices.DeleteFunc(others, func(place string) bool { return place == primary.Place })
		other := others[r.random.IntN(len(others))]
		b.Network.SetCut(primary.Place, other, true)
		time.Sleep(1500 * time.Millisecond)
		b.end(t, number)
		time.Sleep(1000 * time.Millisecond)
		b.Network.SetCut(primary.Place, other, false)
		wait()
		r.verify(10)
	})
}

// holder returns the number of an instance that holds a lane of a server. Instances of the server's place take its lanes
// first.
func (b *bed) holder(t *testing.T, db *deployment.Database) int {
	t.Helper()
	for n := range b.Instances {
		status, err := b.Operator(n).Status(t.Context())
		if err != nil || status.Place != db.Place || status.Draining {
			continue
		}
		for _, g := range status.Groups {
			if g.Name == db.Group && g.Lanes > 0 {
				return n
			}
		}
	}
	t.Fatalf("no instance in %s holds a lane of %s", db.Place, db.Group)
	return 0
}

// end ends an instance without a drain: its lanes are closed at once and its running requests are cut off from them.
func (b *bed) end(t *testing.T, number int) {
	t.Helper()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	i := b.Instances[number]
	t.Logf("ending instance %d", number)
	b.ended.Go(func() { _ = i.Stop(ended) })
}
