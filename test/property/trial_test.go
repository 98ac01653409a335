package property_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/standin/database"
	"tanagercross/internal/tool/deployment"
	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

const (
	changeLimit = 15 * time.Second // for a change of primary on a busy machine
	settleTime  = 500 * time.Millisecond
	poll        = 10 * time.Millisecond
)

// trial is one test on one group of a deployment.
type trial struct {
	*bed
	t      *testing.T
	group  string
	ledger ledger.Ledger
	random *rand.Rand
	failed *deployment.Database // a server that was killed and counts as no primary
}

func newTrial(t *testing.T, b *bed) *trial {
	t.Helper()
	n := b.groups.Add(1)
	t.Logf("seed %d", seed())
	return &trial{bed: b, t: t, group: fmt.Sprintf("meals-%d", n), random: rand.New(rand.NewPCG(seed(), uint64(n)))}
}

// offer runs a load in the background and returns the function that waits for its end.
func (r *trial) offer(d time.Duration, change func(o *load.Options)) (wait func()) {
	o := r.options(seed())
	o.Groups, o.Duration, o.WriteShare = []string{r.group}, d, 0.5
	change(&o)
	done := make(chan error, 1)
	go func() {
		_, err := load.Run(context.Background(), o, &r.ledger)
		done <- err
	}()
	return func() {
		r.t.Helper()
		if err := <-done; err != nil {
			r.t.Fatal(err)
		}
	}
}

// primary waits for a primary that is not the given server.
func (r *trial) primary(other *deployment.Database) *deployment.Database {
	r.t.Helper()
	var found *deployment.Database
	r.until("a primary", func() bool {
		found = r.Primary(r.group)
		return found != nil && found != other
	})
	return found
}

func (r *trial) replicas() (list []*deployment.Database) {
	for _, db := range r.Databases {
		if db.Group == r.group && db != r.primary(nil) {
			list = append(list, db)
		}
	}
	return list
}

func (r *trial) until(what string, condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(changeLimit); !condition(); time.Sleep(poll) {
		if time.Now().After(end) {
			r.t.Fatalf("no %s within %s", what, changeLimit)
		}
	}
}

// kill ends the primary and remembers it.
func (r *trial) kill() *deployment.Database {
	r.failed = r.primary(nil)
	r.failed.Kill()
	return r.failed
}

// isolate cuts the primary from the other servers of its group, or ends the cut. Its clients still reach it.
func (r *trial) isolate(db *deployment.Database, cut bool) {
	for _, p := range db.Config.Peers {
		db.SetPeerCut(p.Name, database.Cut{Inbound: cut, Outbound: cut})
	}
}

// contents returns the tags that a server holds.
func (r *trial) contents(db *deployment.Database) (all []ledger.Content) {
	r.t.Helper()
	for _, organisation := range organisations {
		rows, err := db.Dump(organisation, load.ContentsSQL)
		if err != nil {
			r.t.Fatal(err)
		}
		for _, row := range rows {
			count := 1
			if row[3] != "1" {
				count = 2 // any number above one is a doubled write
			}
			all = append(all, ledger.Content{
				Group: r.group, Organisation: organisation, Count: count,
				Tag: ledger.Tag{Organisation: row[0], Session: row[1], RequestID: row[2]},
			})
		}
	}
	return all
}

// verify compares what callers saw with what the last primary holds. The figures must be free of faults and hold enough
// acknowledged writes to say something.
func (r *trial) verify(acknowledged int) ledger.Report {
	r.t.Helper()
	time.Sleep(settleTime) // writes of unknown outcome that still run
	last := r.primary(r.failed)
	r.until("replicated end of the log", func() bool {
		s := last.Status()
		return s.Role == driver.Primary && s.ReplicatedIndex == s.Last.Index
	})
	report := r.ledger.Report(r.contents(last), ledger.Parameters{})
	r.t.Logf("%d requests, %d acknowledged, %d not_run, %d unknown, replica share %.2f",
		report.Requests, report.Acknowledged, report.NotRun, report.Unknown, report.ReplicaReadShare)
	if report.Faults() > 0 {
		r.t.Errorf("lost %d, doubled %d, not_run_but_ran %d, stale %d, foreign %d, unaccounted %d", report.Lost, report.Doubled,
			report.NotRunButRan, report.StaleReads, report.ForeignAnswers, report.Unaccounted)
	}
	if report.Acknowledged < acknowledged {
		r.t.Errorf("%d writes acknowledged, want at least %d", report.Acknowledged, acknowledged)
	}
	return report
}
