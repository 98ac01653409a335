package cluster

import (
	"slices"

	"tanagercross/internal/database/driver"
)

// Replicate lets all replicas receive what their primaries have.
func (c *Cluster) Replicate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		c.receive(s)
	}
}

// receive lets a server take part in replication unless it is down, silent or paused.
func (c *Cluster) receive(s *Server) {
	if !s.down && !s.silent && !s.paused {
		c.catchUp(s)
	}
}

// received reports whether a replica holds the log of the primary.
func (c *Cluster) received(primary *Server) bool {
	for _, s := range c.servers {
		if s.Group != primary.Group || s == primary {
			continue
		}
		if c.receive(s); s.received >= len(primary.log) && s.term == primary.term {
			return true
		}
	}
	return false
}

// Value returns the last value of an item in the log of a group's primary.
func (c *Cluster) Value(group, item string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	value := ""
	if p := c.primary(group); p != nil {
		for _, e := range p.log {
			if e.item == item {
				value = e.value
			}
		}
	}
	return value
}

// RolledBack reports whether a promotion dropped a commit.
func (c *Cluster) RolledBack(item, value string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := range c.rolledBack {
		if e.item == item && e.value == value {
			return true
		}
	}
	return false
}

// Leads reports whether a server is the primary of its group.
func (c *Cluster) Leads(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	return s != nil && s.Role == driver.Primary
}

// noteAcknowledged records the commits of a primary after the first n of its log, if its group is synchronous: their callers are
// told that they succeeded.
func (c *Cluster) noteAcknowledged(s *Server, n int) {
	if c.synchronous[s.Group] && len(s.log) > n {
		c.acknowledged[s.Group] = append(c.acknowledged[s.Group], s.log[n:]...)
	}
}

// checkAcknowledged records a fault if the log of a server that is to lead lacks acknowledged commits.
func (c *Cluster) checkAcknowledged(s *Server) {
	has := map[commit]bool{}
	for _, e := range s.log {
		has[e] = true
	}
	all := c.acknowledged[s.Group]
	kept := slices.DeleteFunc(slices.Clone(all), func(e commit) bool { return !has[e] })
	if lost := len(all) - len(kept); lost > 0 {
		c.fault("%s is promoted without %d acknowledged commits", s.ID, lost)
	}
	c.acknowledged[s.Group] = kept
}
