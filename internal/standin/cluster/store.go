package cluster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/entry"
)

type member struct {
	address string
	place   string
	version uint64
}

type dutyRow struct {
	holder string
	token  uint64
	until  time.Duration
}

var errStoreDown = errors.New("store down")

// Store is the store as one instance sees it. It implements entry.Store.
type Store struct {
	cluster  *Cluster
	instance string
}

// Store returns the store for an instance.
func (c *Cluster) Store(instance string) Store { return Store{cluster: c, instance: instance} }

// call counts a call and runs it while the store serves the instance.
func (s Store) call(f func(c *Cluster) error) error {
	c := s.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.storeDown || c.turnedAway[s.instance] {
		return errStoreDown
	}
	return f(c)
}

// Configuration implements entry.Store.
func (s Store) Configuration(context.Context) (rows view.OperatorRows, err error) {
	err = s.call(func(c *Cluster) error { rows = c.operatorRows(0); return nil })
	return rows, err
}

func (c *Cluster) operatorRows(after uint64) view.OperatorRows {
	rows := view.Rows{Version: c.version}
	if c.configured > after {
		rows.Rows = []view.Row{{Key: "configuration", Version: c.configured}}
	}
	return view.OperatorRows{Configuration: rows, Evacuations: c.reading(after)}
}

// AwaitConfiguration implements entry.Store.
func (s Store) AwaitConfiguration(ctx context.Context, after uint64, wait time.Duration) (rows view.OperatorRows, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		var changed chan struct{}
		err = s.call(func(c *Cluster) error {
			if view.Generation(after) != view.Generation(c.version) {
				return entry.ErrCompacted
			}
			rows, changed = c.operatorRows(after), c.changed
			return nil
		})
		if err != nil || len(rows.Configuration.Rows)+len(rows.Evacuations.Rows) > 0 {
			return rows, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return rows, nil
		case <-ctx.Done():
			return rows, ctx.Err()
		}
	}
}

// Servers implements entry.Store.
func (s Store) Servers(context.Context) (rows view.Rows, err error) {
	err = s.call(func(c *Cluster) error {
		rows.Version = c.version
		for _, id := range c.listed() {
			v := c.servers[id].Server
			rows.Rows = append(rows.Rows, view.Row{Key: id, Value: fmt.Appendf(nil, "%s %t", v.Role, v.Leaving)})
		}
		return nil
	})
	return rows, err
}

// Members implements entry.Store.
func (s Store) Members(context.Context) (rows view.Rows, err error) {
	err = s.call(func(c *Cluster) error {
		rows.Version = c.version
		for name, m := range c.members {
			rows.Rows = append(rows.Rows, view.Row{Key: name, Value: []byte(m.address + " " + m.place), Version: m.version})
		}
		slices.SortFunc(rows.Rows, func(a, b view.Row) int { return strings.Compare(a.Key, b.Key) })
		return nil
	})
	return rows, err
}

// Announce implements entry.Store.
func (s Store) Announce(_ context.Context, m roster.Member) error {
	return s.call(func(c *Cluster) error {
		c.bump()
		c.members[m.Name] = member{address: m.Address, place: m.Place, version: c.version}
		return nil
	})
}

// Forget implements entry.Store.
func (s Store) Forget(_ context.Context, name string, version uint64) error {
	return s.call(func(c *Cluster) error {
		if c.members[name].version != version {
			return entry.ErrConflict
		}
		c.bump()
		delete(c.members, name)
		return nil
	})
}

// ReplicaSet implements entry.Store.
func (s Store) ReplicaSet(_ context.Context, group string) (r entry.ReplicaSetRecord, err error) {
	err = s.call(func(c *Cluster) error {
		c.replicaSetCalls++
		r = c.replicaSets[group]
		return nil
	})
	return r, err
}

// PutReplicaSet implements entry.Store.
func (s Store) PutReplicaSet(_ context.Context, group string, r entry.ReplicaSetRecord) error {
	return s.call(func(c *Cluster) error {
		c.replicaSetCalls++
		if c.replicaSets[group].Version != r.Version {
			return entry.ErrConflict
		}
		c.bump()
		c.replicaSets[group] = entry.ReplicaSetRecord{Set: r.Set, Version: c.version}
		return nil
	})
}

// Claim implements entry.Store.
func (s Store) Claim(_ context.Context, duty, holder string, above uint64, lease time.Duration) (claim entry.Claim, err error) {
	err = s.call(func(c *Cluster) error {
		now := c.boot()
		d := c.duties[duty]
		if d.holder != holder && now < d.until {
			claim = entry.Claim{Holder: d.holder, Token: d.token, Remaining: d.until - now}
			return nil
		}
		if d.holder != holder || d.token <= above {
			d.token++
		}
		d.holder, d.until = holder, now+lease
		c.duties[duty] = d
		c.holders[d.token] = holder
		claim = entry.Claim{Holder: holder, Token: d.token, Remaining: lease}
		return nil
	})
	return claim, err
}

// Promote implements entry.Promoter.
func (c *Cluster) Promote(ctx context.Context, holder string, token uint64, group, server string) error {
	c.mu.Lock()
	if c.lateOrders > 0 {
		c.lateOrders--
		time.AfterFunc(c.lateBy, func() { _ = c.Promote(context.Background(), holder, token, group, server) })
		c.mu.Unlock()
		<-ctx.Done()
		return entry.ErrUncertain
	}
	defer c.mu.Unlock()
	s := c.servers[server]
	if s == nil || s.down || token < c.tokens[group] {
		return entry.ErrConflict
	}
	if other, used := c.holders[token]; used && other != holder {
		c.fault("%s promotes with the token %d of %s", holder, token, other)
	}
	c.tokens[group], c.holders[token] = token, holder
	time.AfterFunc(promoteDelay, func() { c.promote(s) })
	return nil
}

// Configuration implements view.Decoder. The row only stands for the configuration in force.
func (c *Cluster) Configuration([]byte) (catalog.Configuration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configuration, nil
}

// Server implements view.Decoder.
func (c *Cluster) Server(id string, value []byte) (catalog.Server, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id].Server
	if !strings.HasPrefix(string(value), string(s.Role)) {
		s.Role = "" // the row is older than the change of role
	}
	return s, nil
}

// Member implements view.Decoder.
func (c *Cluster) Member(name string, value []byte) (roster.Member, error) {
	address, place, ok := strings.Cut(string(value), " ")
	if !ok {
		return roster.Member{}, fmt.Errorf("member %s: %q", name, value)
	}
	return roster.Member{Name: name, Address: address, Place: place}, nil
}
