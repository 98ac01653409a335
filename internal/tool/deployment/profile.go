package deployment

import (
	"time"

	"tanagercross/internal/database/driver"
)

// Profile describes a deployment. It is a value; its With methods return changed copies.
type Profile struct {
	Name            string
	GroupName       string
	Places          []string
	DatabasePlaces  []string // of the servers of each group in turn; nil means Places
	Groups          int
	Instances       int
	Slots           int
	ConnectionLimit int
	ConnectionDelay time.Duration
	ServiceTime     time.Duration // of one statement
	Lag             time.Duration // of replication, besides the network
	// BetweenPlaces is the one-way latency between instances and databases of different places.
	BetweenPlaces time.Duration
	ToClients     time.Duration // one way
	Organisations []string
	// PlainNetwork leaves out the emulation of latencies and cuts.
	PlainNetwork bool
	// WrapConnector, if set, replaces the connector of the instances to databases.
	WrapConnector func(*Deployment, driver.Connector) driver.Connector
}

// Mutirao is the deployment of Mutirão Refeições: three places, one data centre each.
func Mutirao() Profile {
	return Profile{
		Name: "mutirao", GroupName: "meals", Places: []string{"agreste", "sertao", "litoral"},
		Groups: 3, Instances: 18, Slots: 2, ConnectionLimit: 35, ConnectionDelay: 10 * time.Millisecond,
		ServiceTime: time.Millisecond, BetweenPlaces: 500 * time.Microsecond, ToClients: 3 * time.Millisecond,
		Organisations: []string{
			"sertao_coop", "agreste_coop", "litoral_coop", "serra_coop", "vale_coop", "norte_coop", "sul_coop", "rio_coop",
		},
	}
}

// Trust is the deployment of the Midlands Snowguard Fitters Trust.
func Trust() Profile {
	return Profile{
		Name: "trust", GroupName: "records", Places: []string{"west_midlands", "east_midlands", "peaks"},
		Groups: 3, Instances: 18, Slots: 2, ConnectionLimit: 80, ConnectionDelay: 30 * time.Millisecond,
		ServiceTime: time.Millisecond, BetweenPlaces: time.Millisecond, ToClients: 3 * time.Millisecond,
		Organisations: []string{
			"parish_hall", "almshouse", "chapel", "primary_school", "high_school", "village_hall", "abbey", "library",
		},
	}
}

// WithInstances returns a profile with a number of instances.
func (p Profile) WithInstances(n int) Profile {
	p.Instances = n
	return p
}

// WithGroups returns a profile with a number of database groups.
func (p Profile) WithGroups(n int) Profile {
	p.Groups = n
	return p
}

// WithPlaces returns a profile whose instances are spread over other places in turn; the databases stay where they are.
func (p Profile) WithPlaces(places ...string) Profile {
	if p.DatabasePlaces == nil {
		p.DatabasePlaces = p.Places
	}
	p.Places = places
	return p
}

func (p Profile) databasePlace(server int) string {
	places := p.DatabasePlaces
	if places == nil {
		places = p.Places
	}
	return places[server%len(places)]
}

// WithLag returns a profile whose replicas lag by a time.
func (p Profile) WithLag(d time.Duration) Profile {
	p.Lag = d
	return p
}

// WithServiceTime returns a profile whose statements take a time.
func (p Profile) WithServiceTime(d time.Duration) Profile {
	p.ServiceTime = d
	return p
}

// latency is the one-way latency between two places.
func (p Profile) latency(from, to string) time.Duration {
	switch {
	case from == CallersPlace || to == CallersPlace:
		return p.ToClients
	case from == to:
		return 0
	}
	return p.BetweenPlaces
}
