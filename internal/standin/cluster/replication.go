package cluster

import "tanagercross/internal/database/driver"

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
