package promotion

import "slices"

// Order is an order to the platform to promote a server, with the fencing token of the promotion lease.
type Order struct {
	Server string
	Token  uint64
}

// Orders are the orders for one group that were not answered. The platform may still carry one out unless it has seen a
// higher token for the group. The zero value contains none.
type Orders struct{ unanswered []Order }

// WithUnanswered returns the orders with one that was not answered.
func (o Orders) WithUnanswered(order Order) Orders {
	if slices.Contains(o.unanswered, order) {
		return o
	}
	return Orders{append(slices.Clone(o.unanswered), order)}
}

// WithAccepted returns the orders without those that the platform refuses from now on, because it has accepted one with a
// higher token. An unanswered order for the same server with the same token may have to be refused later.
func (o Orders) WithAccepted(order Order) Orders {
	return Orders{slices.DeleteFunc(slices.Clone(o.unanswered), func(u Order) bool { return u.Token < order.Token })}
}

// Threaten reports whether one of the orders may still replace the given primary.
func (o Orders) Threaten(primary string) bool {
	return slices.ContainsFunc(o.unanswered, func(u Order) bool { return u.Server != primary })
}

// HighestToken returns the highest token of the orders for other servers, above which an order for the given server makes
// the platform refuse them. It returns 0 if there are none.
func (o Orders) HighestToken(server string) uint64 {
	highest := uint64(0)
	for _, u := range o.unanswered {
		if u.Server != server {
			highest = max(highest, u.Token)
		}
	}
	return highest
}
