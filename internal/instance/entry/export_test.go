package entry

import "tanagercross/internal/fleet/view"

// Table returns the view of an instance.
func (n *Node) Table() *view.Table { return n.table }
