package scenario

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/service/rest"
	"tanagercross/internal/tool/deployment"
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
	keys, err := deployment.SeedKeys(context.Background(), f.platform.clients, organisations)
	maps.Copy(f.keys, keys)
	return err
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
