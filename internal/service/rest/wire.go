package rest

import (
	"tanagercross/internal/database/driver"
	"tanagercross/internal/service/store"
)

// Paths of the platform's HTTP surface.
const (
	PathRead      = "/v1/table/read"
	PathScan      = "/v1/table/scan"
	PathCommit    = "/v1/table/commit"
	PathObjects   = "/v1/objects"
	PathGroups    = "/v1/groups"
	PathInstances = "/v1/instances"
)

// ReadRequest is the body of a table read.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of a table scan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
}

// Row is a table row; Value is base64 in JSON.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// RowsResponse answers a read or a scan.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// Condition requires a row's version; 0 requires that the row is absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Delete bool   `json:"delete,omitempty"`
}

// CommitRequest is the body of a commit.
type CommitRequest struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// ObjectsResponse lists object names.
type ObjectsResponse struct {
	Names []string `json:"names"`
}

// Server is a database server in the group list.
type Server struct {
	Name            string `json:"name"`
	Place           string `json:"place"`
	Address         string `json:"address"`
	Slots           int    `json:"slots"`
	ConnectionLimit int    `json:"connection_limit"`
	Leaving         bool   `json:"leaving,omitempty"`
}

// Group is a database group.
type Group struct {
	Name    string   `json:"name"`
	Servers []Server `json:"servers"`
}

// GroupsResponse lists the groups.
type GroupsResponse struct {
	Groups []Group `json:"groups"`
}

// Instance is an entry of the instance list.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Place   string `json:"place"`
	Leaving bool   `json:"leaving,omitempty"`
}

// InstancesResponse lists the instances.
type InstancesResponse struct {
	Instances []Instance `json:"instances"`
}

// GroupOf converts a group to its wire form.
func GroupOf(g store.Group) Group {
	out := Group{Name: g.Name}
	for _, s := range g.Servers {
		out.Servers = append(out.Servers, Server{
			Name: s.Name, Place: s.Place, Address: s.Address, Slots: s.Slots,
			ConnectionLimit: s.ConnectionLimit, Leaving: s.Leaving,
		})
	}
	return out
}

// Group returns the group that the wire form describes.
func (g Group) Group() store.Group {
	out := store.Group{Name: g.Name}
	for _, s := range g.Servers {
		out.Servers = append(out.Servers, driver.Server{
			Name: s.Name, Group: g.Name, Place: s.Place, Address: s.Address, Slots: s.Slots,
			ConnectionLimit: s.ConnectionLimit, Leaving: s.Leaving,
		})
	}
	return out
}
