// Package residence decides which servers and instances may take part in a statement whose database or organisation has
// home regions. It does no I/O.
//
// # Usage
//
//	homes := residence.Of(database.HomeRegions, organisation.HomeRegions)
//	if homes.Excluded() {
//		// no region is in both lists: refuse
//	}
//	if homes.Permit(regions.Of(server.Place)) {
//		// the server may run the statement
//	}
//	if homes.PermitRelay(regions.Of(instance.Place), regions.Of(self.Place)) {
//		// the statement may be sent through the instance
//	}
//
// Homes apply when a server is chosen, so that an open transaction keeps its server and a change of homes applies from the
// next transaction on.
package residence

import "slices"

// Homes is the set of regions whose servers may run a statement. The zero value permits all regions.
type Homes struct {
	restricted bool
	regions    []string
}

// Of returns the homes of a statement from the lists of its database and its organisation. An empty list permits all
// regions; of two lists, a region must be in both.
func Of(database, organisation []string) Homes {
	switch {
	case len(database) == 0:
		return Homes{restricted: len(organisation) > 0, regions: organisation}
	case len(organisation) == 0:
		return Homes{restricted: true, regions: database}
	}
	h := Homes{restricted: true}
	for _, region := range database {
		if slices.Contains(organisation, region) {
			h.regions = append(h.regions, region)
		}
	}
	return h
}

// Restricted reports whether any region is not permitted.
func (h Homes) Restricted() bool { return h.restricted }

// Excluded reports whether no region is permitted, because the two lists have none in common.
func (h Homes) Excluded() bool { return h.restricted && len(h.regions) == 0 }

// Permit reports whether servers in a region may run the statement.
func (h Homes) Permit(region string) bool { return !h.restricted || slices.Contains(h.regions, region) }

// PermitRelay reports whether the statement may be sent through an instance in a region. own is the region of the instance
// that the caller is connected to.
func (h Homes) PermitRelay(region, own string) bool { return region == own || h.Permit(region) }
