package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/platform/rest"
	"tanagercross/internal/platform/store"
)

// commandFleet: fleet start [instances=3] [organisations=sertao_coop,agreste_coop]
//
// Starts the platform, the group and the instances i1, i2 and so on, one in each place in turn, and waits until writes of
// every organisation are done. The keys are already in the platform's table, as an earlier life of the fleet leaves
// them: issuing them takes several seconds each in a fleet whose roster is new.
func (f *fleet) commandFleet(arguments []string) error {
	arguments, o := splitOptions(arguments)
	instances := o.number("instances", 3)
	organisations := strings.Split(o.text("organisations", "sertao_coop,agreste_coop"), ",")
	if err := expect(arguments, 1, 1, "fleet start [OPTION...]"); err != nil {
		return err
	}
	if err := o.finish(); err != nil {
		return err
	}
	listed := make([]string, instances)
	for i := range listed {
		listed[i] = fmt.Sprintf("i%d=%s", i+1, places[i%len(places)])
	}
	if err := f.startPlatform(listed); err != nil {
		return err
	}
	if err := f.seedKeys(organisations); err != nil {
		return err
	}
	if err := f.commandGroup(nil); err != nil {
		return err
	}
	for _, entry := range listed {
		name, place, _ := strings.Cut(entry, "=")
		if err := f.startInstance(name, place); err != nil {
			return err
		}
	}
	started := time.Now()
	err := f.commandAwait([]string{"working"})
	f.logf("working %s after the start of the last instance", time.Since(started).Round(time.Millisecond))
	return err
}

func (f *fleet) seedKeys(organisations []string) error {
	var table key.Table
	for _, organisation := range organisations {
		k, err := key.New()
		if err != nil {
			return err
		}
		entry := key.Entry{Hash: k.Hash(), Organisation: organisation, IssuedAt: time.Now().UTC(), IssuedBy: "scenario"}
		if table, err = table.WithIssued(entry); err != nil {
			return err
		}
		f.keys[organisation] = k
	}
	content, err := json.Marshal(table)
	if err != nil {
		return eris.Wrap(err, "keys")
	}
	first := document.Document{
		Name: document.Keys, Version: 1, Content: content,
		Origins: []document.Origin{{Version: 1, ChangeID: "seed", Author: "scenario", Reason: "first version"}},
	}
	data, err := first.Encode()
	if err != nil {
		return err
	}
	s := rest.New("http://"+f.platform.clients, rest.Options{})
	defer s.Close()
	return s.Commit(context.Background(), []store.Condition{{Key: document.Key(document.Keys)}},
		[]store.Write{{Key: document.Key(document.Keys), Value: data}, {Key: document.VersionKey(document.Keys)}})
}

// instanceList is the platform's list of instances. Entries are of the form name=place.
func (f *fleet) instanceList(entries []string) (rest.InstancesResponse, error) {
	var list rest.InstancesResponse
	for _, entry := range entries {
		name, place, ok := strings.Cut(entry, "=")
		if !ok {
			return list, eris.Errorf("instance %q; allowed: name=place", entry)
		}
		i, err := f.instance(name)
		if err != nil {
			return list, err
		}
		list.Instances = append(list.Instances, rest.Instance{Name: name, Address: i.seenPeers, Place: place})
	}
	return list, nil
}
