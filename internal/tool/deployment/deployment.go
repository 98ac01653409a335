// Package deployment runs a whole deployment in one process on loopback: a platform stand-in, database groups, and
// instances, with the latencies of a real one between them.
//
// # Usage
//
//	d, err := deployment.Start(ctx, deployment.Mutirao().WithInstances(3).WithGroups(1))
//	if err != nil {
//		return err
//	}
//	defer d.Stop()
//	key, err := d.IssueKey(ctx, "sertao_coop")
package deployment

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/postgres"
	"tanagercross/internal/instance/daemon"
	"tanagercross/internal/instance/operator"
	"tanagercross/internal/instance/settings"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/service/rest"
	"tanagercross/internal/service/store"
	"tanagercross/internal/standin/database"
	"tanagercross/internal/standin/network"
	"tanagercross/internal/standin/platform"
)

// Places besides those of the profile, for cuts.
const (
	PlatformPlace = "platform"
	CallersPlace  = "callers"
)

const (
	serversPerGroup = 3
	loopback        = "127.0.0.1:0"
	readyPeriod     = 50 * time.Millisecond
	drainDeadline   = 10 * time.Second
)

// Deployment is a running deployment.
type Deployment struct {
	profile   Profile
	directory string
	log       *slog.Logger
	secrets   secrets
	Network   *network.Network
	Platform  *platform.Server
	Databases []*Database
	Instances []*daemon.Daemon
	Keys      map[string]key.Key // by organisation
	configs   []settings.Settings
	places    map[string]string // of instances, by name
	dead      map[int]bool
	mu        sync.Mutex // of the servers of the databases
}

// Database is one database server of a deployment.
type Database struct {
	*database.Server
	Config database.Config
	Group  string
	Place  string
}

type secrets struct{ fleet, operator string }

// Start starts a deployment and waits until every instance is ready.
func Start(ctx context.Context, p Profile, log *slog.Logger) (*Deployment, error) {
	directory, err := os.MkdirTemp("", "tanagercross-")
	if err != nil {
		return nil, eris.Wrap(err, "directory of the databases")
	}
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	d := &Deployment{
		profile: p, directory: directory, log: log, places: map[string]string{}, dead: map[int]bool{},
		secrets: secrets{fleet: randomSecret(), operator: randomSecret()},
	}
	d.Network = network.New(func(from, to string) time.Duration { return p.latency(d.placeOf(from), d.placeOf(to)) })
	for _, step := range []func(context.Context) error{d.startDatabases, d.startPlatform, d.startInstances, d.AwaitReady} {
		if err := step(ctx); err != nil {
			d.Stop()
			return nil, err
		}
	}
	return d, nil
}

func randomSecret() string {
	secret := make([]byte, 32)
	_, _ = rand.Read(secret)
	return hex.EncodeToString(secret)
}

func (d *Deployment) startDatabases(ctx context.Context) error {
	for g := range d.profile.Groups {
		group := fmt.Sprintf("%s-%d", d.profile.GroupName, g+1)
		configs, err := d.groupConfigs(group)
		if err != nil {
			return err
		}
		for i, c := range configs {
			s, err := database.Start(ctx, c)
			if err != nil {
				return err
			}
			place := d.profile.Places[i%len(d.profile.Places)]
			d.Databases = append(d.Databases, &Database{Server: s, Config: c, Group: group, Place: place})
			d.Network.Register(s.Addr(), place)
		}
	}
	return nil
}

func (d *Deployment) groupConfigs(group string) ([]database.Config, error) {
	configs := make([]database.Config, 0, serversPerGroup)
	for i := range serversPerGroup {
		name := fmt.Sprintf("%s-%c", group, 'a'+i)
		directory := filepath.Join(d.directory, name)
		if err := os.MkdirAll(directory, 0o755); err != nil {
			return nil, eris.Wrap(err, "directory of "+name)
		}
		addresses, err := network.FreeAddresses(2)
		if err != nil {
			return nil, err
		}
		configs = append(configs, database.Config{
			Name: name, Address: addresses[0], ReplicationAddress: addresses[1], Directory: directory,
			InitialPrimary: i == 0, ConnectionLimit: d.profile.ConnectionLimit, ConnectionDelay: d.profile.ConnectionDelay,
			Slots: d.profile.Slots, ServiceTime: d.profile.ServiceTime, Lag: d.profile.Lag,
		})
	}
	for i := range configs {
		for j := range configs {
			if i != j {
				peer := database.Peer{Name: configs[j].Name, Address: configs[j].ReplicationAddress}
				configs[i].Peers = append(configs[i].Peers, peer)
			}
		}
	}
	return configs, nil
}

func (d *Deployment) startPlatform(ctx context.Context) error {
	config := platform.Config{Groups: d.groups()}
	for i := range d.profile.Instances {
		addresses, err := network.FreeAddresses(1)
		if err != nil {
			return err
		}
		place := d.profile.Places[i%len(d.profile.Places)]
		config.Instances = append(config.Instances, store.ListedInstance{
			Name: fmt.Sprintf("i%02d", i+1), Address: addresses[0], Place: place,
		})
		d.Network.Register(addresses[0], config.Instances[i].Name)
		d.places[config.Instances[i].Name] = place
		d.Network.Locate(config.Instances[i].Name, place)
	}
	var err error
	d.Platform, err = platform.Start(ctx, config)
	if err != nil {
		return err
	}
	d.Network.Register(d.Platform.Addr(), PlatformPlace)
	if d.Keys, err = SeedKeys(ctx, d.Platform.Addr(), d.profile.Organisations); err != nil {
		return err
	}
	for _, listed := range config.Instances {
		s, err := d.settingsOf(listed)
		if err != nil {
			return err
		}
		d.configs = append(d.configs, s)
	}
	return nil
}

// groups returns the group list of the platform.
func (d *Deployment) groups() []store.Group {
	var groups []store.Group
	for _, db := range d.Databases {
		if len(groups) == 0 || groups[len(groups)-1].Name != db.Group {
			groups = append(groups, store.Group{Name: db.Group})
		}
		g := &groups[len(groups)-1]
		g.Servers = append(g.Servers, driver.Server{
			Name: db.Config.Name, Group: db.Group, Place: db.Place, Address: db.Addr(), Slots: d.profile.Slots,
			ConnectionLimit: d.profile.ConnectionLimit,
		})
	}
	return groups
}

func (d *Deployment) settingsOf(listed store.ListedInstance) (settings.Settings, error) {
	peers, err := netip.ParseAddrPort(listed.Address)
	if err != nil {
		return settings.Settings{}, eris.Wrap(err, "address of "+listed.Name)
	}
	callers, err := network.FreeAddresses(1)
	if err != nil {
		return settings.Settings{}, err
	}
	return settings.Settings{
		Name: listed.Name, Place: listed.Place, Region: listed.Place,
		// Restarts keep the address, as behind the platform's balancer.
		ListenCallers: netip.MustParseAddrPort(callers[0]), ListenPeers: peers,
		ListenOperators: netip.MustParseAddrPort(loopback), AdvertisePeers: peers,
		PlatformURL:  &url.URL{Scheme: "http", Host: d.Platform.Addr()},
		FleetSecrets: []settings.Secret{settings.NewSecret(d.secrets.fleet)}, OperatorSecret: settings.NewSecret(d.secrets.operator),
		DrainDeadline: drainDeadline, MaxConnections: 1000, ReadTimeout: drainDeadline, WriteTimeout: time.Minute,
		IdleTimeout: time.Minute,
	}, nil
}

func (d *Deployment) startInstances(ctx context.Context) error {
	for i := range d.configs {
		started, err := d.StartInstance(ctx, i)
		if err != nil {
			return err
		}
		d.Instances = append(d.Instances, started)
	}
	return nil
}

// StartInstance starts an instance under the settings of a number; the caller keeps it.
func (d *Deployment) StartInstance(ctx context.Context, number int) (*daemon.Daemon, error) {
	s := d.configs[number]
	o := daemon.Options{Settings: s, Log: d.log.With("instance", s.Name)}
	if !d.profile.PlainNetwork {
		o.Dial = d.Network.Dialer(s.Name)
		o.Store = rest.New(s.PlatformURL.String(), rest.Options{Dial: o.Dial})
	}
	if d.profile.WrapConnector != nil {
		o.Connector = d.profile.WrapConnector(d, postgres.Connector{Dial: o.Dial})
	}
	started, err := daemon.Start(ctx, o)
	if err != nil {
		return nil, err
	}
	d.Network.Register(started.CallersAddress(), s.Name)
	return started, nil
}

// AwaitReady waits until every instance says that it is ready.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	for _, i := range d.Instances {
		for !ready(ctx, i.CallersAddress()) {
			select {
			case <-ctx.Done():
				return eris.Wrap(ctx.Err(), "wait for "+i.CallersAddress())
			case <-time.After(readyPeriod):
			}
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode < http.StatusBadRequest
}

// Operator returns a client of the operators' API of an instance.
func (d *Deployment) Operator(number int) *operator.Client {
	return operator.NewClient("http://"+d.Instances[number].OperatorsAddress(), d.secrets.operator)
}

// CallerURLs returns the base URLs of the caller API of all instances.
func (d *Deployment) CallerURLs() []string {
	urls := make([]string, 0, len(d.Instances))
	for _, i := range d.Instances {
		urls = append(urls, "http://"+i.CallersAddress())
	}
	return urls
}

// CallerDialer dials as a caller does, over the latency to clients.
func (d *Deployment) CallerDialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	if d.profile.PlainNetwork {
		return nil
	}
	return d.Network.Dialer(CallersPlace)
}

// Primary returns the server of a group that says it is primary of the highest term, or nil.
func (d *Deployment) Primary(group string) *Database {
	var best *Database
	var term uint64
	for _, db := range d.Databases {
		if db.Group != group {
			continue
		}
		if s := db.Status(); s.Role == driver.Primary && s.Term >= term {
			best, term = db, s.Term
		}
	}
	return best
}

// Stop stops everything and removes the files of the databases.
func (d *Deployment) Stop() {
	var drains sync.WaitGroup
	for n, i := range d.Instances {
		if i != nil && !d.dead[n] {
			drains.Go(func() { _ = i.Stop(context.Background()) })
		}
	}
	drains.Wait()
	for _, db := range d.Databases {
		db.Stop()
	}
	if d.Platform != nil {
		d.Platform.Stop()
	}
	_ = os.RemoveAll(d.directory)
}

// OperatorSecret returns the secret of the operators' API.
func (d *Deployment) OperatorSecret() string { return d.secrets.operator }
