package database_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/postgres"
	"tanagercross/internal/standin/database"
)

const faultSteps = 30

// run drives a group with random faults. At most one server is killed or frozen at a time.
type run struct {
	*group
	random       *rand.Rand
	term         uint64
	primary      int
	down, frozen int // -1 is none
	acknowledged []string
}

// attempt runs a call on a new connection within 150 ms and reports whether it succeeded.
func (r *run) attempt(i int, call func(context.Context, driver.Conn) error) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	defer cancel()
	c, err := postgres.Connector{}.Connect(ctx, driver.Server{Address: r.configs[i].Address})
	if err != nil {
		return false
	}
	defer c.Close()
	return call(ctx, c) == nil
}

func (r *run) save(name string) {
	saved := r.attempt(r.primary, func(ctx context.Context, c driver.Conn) error {
		result, err := c.Write(ctx, coop, 1, driver.Record{RequestID: name}, driver.Statement{
			SQL: "INSERT INTO meal VALUES ($1)", Arguments: []*string{&name},
		})
		if err != nil {
			return err
		}
		return c.Await(ctx, result.Position, 100*time.Millisecond)
	})
	if saved {
		r.acknowledged = append(r.acknowledged, name)
	}
}

// elect changes the primary if a majority of the servers answers.
func (r *run) elect() bool {
	r.term++
	holder := "watcher-" + strconv.FormatUint(r.term, 10)
	fenced, best, last := 0, -1, driver.Position{}
	for _, i := range r.random.Perm(3) {
		r.attempt(i, func(ctx context.Context, c driver.Conn) error {
			status, err := c.Fence(ctx, r.term, holder)
			if err != nil {
				return err
			}
			fenced++
			if best < 0 || status.Last.Compare(last) > 0 {
				best, last = i, status.Last
			}
			return nil
		})
	}
	if fenced < 2 {
		return false
	}
	promoted := r.attempt(best, func(ctx context.Context, c driver.Conn) error {
		_, err := c.Promote(ctx, r.term, holder)
		return err
	})
	if promoted {
		r.primary = best
	}
	return promoted
}

func (r *run) fault() {
	i := r.random.IntN(3)
	s, peer := r.servers[i], r.configs[i].Peers[r.random.IntN(2)].Name
	switch r.random.IntN(6) {
	case 0:
		if r.down < 0 && r.frozen < 0 {
			s.Kill()
			r.down = i
		}
	case 1:
		if r.down < 0 && r.frozen < 0 {
			s.Freeze()
			r.frozen = i
		}
	case 2:
		s.SetPeerCut(peer, database.Cut{Inbound: r.random.IntN(2) == 0, Outbound: r.random.IntN(2) == 0})
	case 3:
		s.SetLag(time.Duration(r.random.IntN(30)) * time.Millisecond)
	case 4:
		r.elect()
	case 5:
		r.heal()
	}
}

func (r *run) heal() {
	if r.down >= 0 {
		r.start(r.down)
	}
	if r.frozen >= 0 {
		r.servers[r.frozen].Thaw()
	}
	r.down, r.frozen = -1, -1
	for i, s := range r.servers {
		s.SetLag(0)
		for _, p := range r.configs[i].Peers {
			s.SetPeerCut(p.Name, database.Cut{})
		}
	}
}

// Guards against acknowledged writes that are lost or doubled, and servers that stay different, after random sequences
// of kills, freezes, one-way cuts, lag and changes of the primary. TANAGERCROSS_SEEDS sets the number of sequences.
func TestSeededFaults(t *testing.T) {
	seeds := 2
	if n, err := strconv.Atoi(os.Getenv("TANAGERCROSS_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r := &run{group: newGroup(t), random: rand.New(rand.NewPCG(uint64(seed), 0)), term: 1, down: -1, frozen: -1}
			c := r.connect(0)
			r.await(c, r.write(c, "0", "CREATE TABLE meal (name TEXT)"))
			for step := range faultSteps {
				if r.random.IntN(3) == 0 {
					r.fault()
				}
				r.save(fmt.Sprintf("%d-%d", seed, step))
			}
			r.heal()
			r.until("a change of the primary", r.elect)
			r.compare()
		})
	}
}

func (r *run) compare() {
	r.t.Helper()
	var first [][]string
	for i, s := range r.servers {
		r.until("all servers at the same position", func() bool { return s.Status().Last == r.servers[r.primary].Status().Last })
		rows, err := s.Dump(coop, "SELECT name FROM meal ORDER BY rowid")
		if err != nil {
			r.t.Fatal(err)
		}
		if i == 0 {
			first = rows
		}
		if diff := cmp.Diff(first, rows); diff != "" {
			r.t.Errorf("server %d differs: %s", i, diff)
		}
	}
	var names []string
	for _, row := range first {
		names = append(names, row[0])
	}
	for _, name := range r.acknowledged {
		if !slices.Contains(names, name) {
			r.t.Errorf("acknowledged %s is lost", name)
		}
	}
	slices.Sort(names)
	if len(slices.Compact(slices.Clone(names))) != len(names) {
		r.t.Errorf("doubled rows in %v", names)
	}
	r.t.Logf("%d of %d writes acknowledged, %d stored, term %d", len(r.acknowledged), faultSteps, len(names), r.term)
}
