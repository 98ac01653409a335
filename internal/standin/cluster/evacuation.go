package cluster

import (
	"maps"
	"time"

	"tanagercross/internal/fleet/evacuation"
	"tanagercross/internal/fleet/view"
)

// evacuations holds the versions of the operator's rows by place, and those of removals for the feed.
type evacuations struct {
	written map[string]uint64
	removed map[string]uint64
}

func (e evacuations) clone() evacuations {
	return evacuations{written: maps.Clone(e.written), removed: maps.Clone(e.removed)}
}

// Evacuate writes the operator's row that asks for the evacuation of a place.
func (c *Cluster) Evacuate(place string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bump()
	c.evacuations.written[place] = c.version
	delete(c.evacuations.removed, place)
}

// WithdrawEvacuation removes the row.
func (c *Cluster) WithdrawEvacuation(place string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bump()
	delete(c.evacuations.written, place)
	c.evacuations.removed[place] = c.version
}

// Copy is a copy of the operator's rows.
type Copy struct {
	version     uint64
	evacuations evacuations
}

// Copy returns a copy of the operator's rows.
func (c *Cluster) Copy() Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Copy{version: c.version, evacuations: c.evacuations.clone()}
}

// ComeBack makes the store come back from a copy in a new generation. Only the evacuations are those of the copy.
func (c *Cluster) ComeBack(k Copy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	generation := view.Generation(c.version) + 1
	c.version = view.Version(generation, k.version)
	c.configured = view.Version(generation, min(view.RowVersion(c.configured), view.RowVersion(k.version)))
	c.evacuations = k.evacuations.clone()
	for place, version := range c.evacuations.written {
		c.evacuations.written[place] = view.Version(generation, version)
	}
	c.evacuations.removed = map[string]uint64{}
	close(c.changed)
	c.changed = make(chan struct{})
}

// reading returns the evacuations that changed after a version, and all that are in force if the version is 0.
func (c *Cluster) reading(after uint64) evacuation.Reading {
	r := evacuation.Reading{Generation: view.Generation(c.version), Version: view.RowVersion(c.version), Whole: after == 0}
	add := func(rows map[string]uint64, ended bool) {
		for place, version := range rows {
			if version > after {
				r.Rows = append(r.Rows, evacuation.Row{
					Place: place, Generation: view.Generation(version), Version: view.RowVersion(version), Ended: ended,
				})
			}
		}
	}
	add(c.evacuations.written, false)
	if !r.Whole {
		add(c.evacuations.removed, true)
	}
	return r
}

// Statements returns how many statements of callers a server has received.
func (c *Cluster) Statements(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[id].statements
}

// Connections returns how many connections to a server are open.
func (c *Cluster) Connections(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.servers[id].conns)
}

// SetCold sets how much longer a server is cold.
func (c *Cluster) SetCold(id string, d time.Duration) {
	c.change(id, func(s *Server) { s.ColdFor = d })
}
