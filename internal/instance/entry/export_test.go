package entry

import "tanagercross/internal/fleet/view"

// Table returns what an instance knows.
func (n *Node) Table() *view.Table { return n.table }
