package serverpool_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/database/connplan"
	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/standin/cluster"
)

// of returns a read of an organisation with a priority.
func of(organisation string, priority uint8, n int) statement.Call {
	c := read(organisation, n)
	c.Organisation, c.Priority, c.Values = organisation, priority, nil
	return c
}

// Guards against an urgent call that waits because the open transactions of less urgent callers hold all connections, and
// against connections that stay reserved when the transactions have ended.
func TestUrgentCallWhileOthersHoldTheConnections(t *testing.T) {
	_, pool := start(t, primary, serverpool.Options{Slots: 2, Connections: 8})
	pool.PlanConnections(true, nil)
	var open []statement.Call
	for n := range 8 {
		c := of(fmt.Sprintf("o%d", n), 1, n)
		c.Step, c.Timeout = statement.First, 200*time.Millisecond
		a := pool.Execute(t.Context(), c)
		if held := n < 6; a.OK() != held {
			t.Fatalf("transaction %d: %+v, want success %v", n, a, held)
		}
		if a.OK() {
			c.Step, c.Body, c.Transaction = statement.End, statement.Rollback{}, a.Transaction
			open = append(open, c)
		}
	}
	for n := range 5 {
		if a := pool.Execute(t.Context(), of(fmt.Sprintf("urgent%d", n), 0, n)); !a.OK() {
			t.Errorf("urgent call %d: %+v", n, a)
		}
	}
	waited := make(chan statement.Answer)
	go func() { waited <- pool.Execute(context.Background(), of("o6", 1, 10)) }()
	for _, c := range open {
		pool.Execute(t.Context(), c)
	}
	if a := <-waited; !a.OK() {
		t.Errorf("a less urgent call after the end of the transactions: %+v", a)
	}
	if connections, transactions, load, _ := pool.Counts(); connections > 8 || transactions+load != 0 {
		t.Errorf("%d connections, %d transactions and %d calls, want at most 8 and none", connections, transactions, load)
	}
	if e := pool.Evictions(); e.Demand == 0 {
		t.Errorf("evictions %+v, want some: seven organisations had connections and five others asked", e)
	}
}

// fullServer refuses the first connection because it has too many.
type fullServer struct {
	cluster.Dialer
	refused atomic.Bool
}

func (d *fullServer) Dial(ctx context.Context, t statement.Target) (statement.Conn, driver.Position, error) {
	if d.refused.CompareAndSwap(false, true) {
		return nil, driver.Position{}, &statement.DialError{Code: statement.TooMany, Err: errors.New("too many")}
	}
	return d.Dialer.Dial(ctx, t)
}

// Guards against a caller that waits until its timeout although a connection may be opened, because no connection is in use
// whose return would wake it.
func TestWaiterIsWokenWhenOpeningIsPossible(t *testing.T) {
	c, _ := start(t, primary, serverpool.Options{})
	var ahead atomic.Int64
	boot := func() time.Duration { return clock.Boot() + time.Duration(ahead.Load()) }
	pool := serverpool.New(statement.Target{Server: primary, Group: "meals", Address: primary}, &fullServer{Dialer: c.Dialer("i1")},
		serverpool.Options{Boot: boot})
	defer pool.Close()
	pool.PlanConnections(true, nil)
	if a := pool.Execute(t.Context(), of("o1", 0, 1)); a.Code != statement.TooMany {
		t.Fatalf("%+v, want the refusal of the server", a)
	}
	answer := make(chan statement.Answer)
	go func() { answer <- pool.Execute(context.Background(), of("o1", 0, 2)) }()
	time.Sleep(50 * time.Millisecond) // it waits, because no connection may be opened
	ahead.Store(int64(time.Minute))
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		pool.PlanConnections(true, nil)
		select {
		case a := <-answer:
			if !a.OK() {
				t.Errorf("%+v, want success", a)
			}
			return
		default:
		}
	}
	t.Error("no answer")
}

// Guards against callers that are never woken, or served beyond the connection limit, while many organisations compete for
// few connections and the plan is switched on and off.
func TestManyOrganisationsOnFewConnections(t *testing.T) {
	const seed, calls = 17, 40
	_, pool := start(t, primary, serverpool.Options{Slots: 4, Connections: 8})
	var reported, served atomic.Int64
	evicted := func(connplan.Eviction, string) { reported.Add(1) }
	pool.PlanConnections(true, evicted)
	var callers sync.WaitGroup
	for n := range 24 {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			for i := range calls {
				c := of(fmt.Sprintf("o%d", random.IntN(1+random.IntN(24))), uint8(random.IntN(3)), n*calls+i)
				c.Session = fmt.Sprint(n)
				a := pool.Execute(context.Background(), c)
				if connections, _, _, _ := pool.Counts(); connections > 8 {
					t.Errorf("seed %d: %d connections, want at most 8", seed, connections)
				}
				switch {
				case a.OK():
					served.Add(1)
				case a.Code != statement.TooMany:
					t.Errorf("seed %d: %+v", seed, a)
				}
				if n == 0 && i%10 == 5 {
					pool.PlanConnections(false, nil)
					pool.PlanConnections(true, evicted)
				}
			}
		})
	}
	callers.Wait()
	if served.Load() < 24*calls*95/100 {
		t.Errorf("seed %d: %d of %d calls served", seed, served.Load(), 24*calls)
	}
	e := pool.Evictions()
	t.Logf("%d served, evictions %+v, %d reported", served.Load(), e, reported.Load())
	if uint64(reported.Load()) > e.Surplus+e.Demand || e.Surplus+e.Demand == 0 {
		t.Errorf("%d evictions reported of %+v", reported.Load(), e)
	}
}
