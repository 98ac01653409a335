package entry

import (
	"time"

	"tanagercross/internal/fleet/view"
)

// Table returns the view of an instance.
func (n *Node) Table() *view.Table { return n.table }

// SlowStart returns the cause of the slow start that a pool for the server would begin with, empty if it would not.
func (n *Node) SlowStart(server string) string {
	e, ok := n.pools.starts.recent(server, n.boot())
	if !ok {
		return ""
	}
	return e.cause
}

// EvacuatePool marks the open pool of a server as evacuated, and reports whether there is one.
func (n *Node) EvacuatePool(server string) bool {
	o, ok := n.pools.snapshot()[server]
	if ok {
		o.pool.Evacuate(n.boot() + time.Hour)
	}
	return ok
}
