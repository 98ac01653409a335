package deployment

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/standin/database"
)

// placeOf returns the place of a location of the network, which is the name of an instance or a place.
func (d *Deployment) placeOf(location string) string {
	if place, ok := d.places[location]; ok {
		return place
	}
	return location
}

// SetInstanceCut cuts an instance from the platform and from all other instances, or ends the cut. Callers and databases
// still reach it.
func (d *Deployment) SetInstanceCut(number int, cut bool) {
	name := d.configs[number].Name
	d.Network.SetCut(name, PlatformPlace, cut)
	for _, other := range d.configs {
		if other.Name != name {
			d.Network.SetCut(name, other.Name, cut)
		}
	}
}

// KillInstances ends instances at once without a drain. All their connections are closed first, so that nothing that
// they say afterwards reaches anyone.
func (d *Deployment) KillInstances(numbers ...int) {
	for _, number := range numbers {
		d.Network.SetDown(d.configs[number].Name, true)
		d.dead[number] = true
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	var stops sync.WaitGroup
	for _, number := range numbers {
		stops.Go(func() { _ = d.Instances[number].Stop(ended) })
	}
	stops.Wait()
}

// StopInstance drains an instance. Its error says that requests were cut.
func (d *Deployment) StopInstance(ctx context.Context, number int) error {
	d.dead[number] = true
	return d.Instances[number].Stop(ctx)
}

// RestartInstance starts a new life of an instance that was stopped or killed.
func (d *Deployment) RestartInstance(ctx context.Context, number int) error {
	d.Network.SetDown(d.configs[number].Name, false)
	started, err := d.StartInstance(ctx, number)
	if err != nil {
		return err
	}
	d.Instances[number] = started
	d.dead[number] = false
	return nil
}

// Ready reports whether an instance says that it is ready.
func (d *Deployment) Ready(ctx context.Context, number int) bool {
	return ready(ctx, d.Instances[number].CallersAddress())
}

// RestartDatabase starts a database server that was killed, on its files and under its addresses.
func (d *Deployment) RestartDatabase(ctx context.Context, db *Database) error {
	c := db.Config
	c.InitialPrimary = false
	s, err := database.Start(ctx, c)
	if err != nil {
		return eris.Wrap(err, "restart "+c.Name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	db.Server = s
	return nil
}

// StatusOf returns the report of a database server. Unlike the server's own method it may be called during a restart.
func (d *Deployment) StatusOf(db *Database) driver.Status {
	d.mu.Lock()
	s := db.Server
	d.mu.Unlock()
	return s.Status()
}

// SetDatabaseCut cuts a database server from its clients and from the other servers of its group, or ends the cut.
func (d *Deployment) SetDatabaseCut(db *Database, cut bool) {
	db.SetClientCut(database.Cut{Inbound: cut, Outbound: cut})
	d.SetPeersCut(db, cut)
}

// SetPeersCut cuts a database server from the other servers of its group, or ends the cut.
func (d *Deployment) SetPeersCut(db *Database, cut bool) {
	c := database.Cut{Inbound: cut, Outbound: cut}
	for _, peer := range db.Config.Peers {
		db.SetPeerCut(peer.Name, c)
	}
}

// IsPlatform reports whether a location of the network is the platform.
func IsPlatform(location string) bool { return location == PlatformPlace }

// IsInstance reports whether a location of the network is an instance.
func (d *Deployment) IsInstance(location string) bool {
	_, ok := d.places[location]
	return ok
}
