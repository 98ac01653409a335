package daemon

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/group"
	"tanagercross/internal/service/rest"
	"tanagercross/internal/service/store"
)

// The group list is kept as JSON in the form in which the platform gives it.

func encodeGroups(groups []store.Group) ([]byte, error) {
	list := make([]rest.Group, 0, len(groups))
	for _, g := range groups {
		list = append(list, rest.GroupOf(g))
	}
	data, err := json.Marshal(rest.GroupsResponse{Groups: list})
	return data, eris.Wrap(err, "encode group list")
}

func decodeGroups(data []byte) ([]store.Group, error) {
	var list rest.GroupsResponse
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, eris.Wrap(err, "decode group list")
	}
	groups := make([]store.Group, 0, len(list.Groups))
	for _, g := range list.Groups {
		groups = append(groups, g.Group())
	}
	return groups, nil
}

func tableGroups(groups []store.Group) []group.Group {
	list := make([]group.Group, 0, len(groups))
	for _, g := range groups {
		list = append(list, group.Group{Name: g.Name, Servers: g.Servers})
	}
	return list
}
