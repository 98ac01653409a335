package entry

import "tanagercross/internal/fleet/belief"

// Table returns what an instance knows.
func (n *Node) Table() *belief.Table { return n.table }
