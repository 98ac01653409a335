package scenario

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/instance/operator"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/service/rest"
	"tanagercross/internal/standin/database"
	"tanagercross/internal/standin/platform"
)

const (
	groupName       = "meals-1"
	platformName    = "platform"
	slots           = 2
	connectionLimit = 35
	connectionDelay = "10ms"
	serviceTime     = "1ms"
	drainDeadline   = "10s"
	serviceTimeMS   = 1
)

var (
	servers = []string{"meals-1-a", "meals-1-b", "meals-1-c"}
	places  = []string{"agreste", "sertao", "litoral"}
)

// server holds the addresses of a database server.
type server struct{ clients, seenClients, replication, seenReplication, control string }

// instance holds the addresses of an instance.
type instance struct{ callers, peers, seenPeers, operators string }

// fleet is the deployment of one script, with what the callers of the script remember.
type fleet struct {
	directory string
	logf      func(format string, arguments ...any)
	setenv    func(name, value string)
	secret    string // operator secret
	links     *links // nil without links

	mu        sync.Mutex
	processes map[string]*process
	order     []*process

	platform       server
	platformFaults platform.Faults
	databases      map[string]*server
	databaseFaults map[string]*database.Faults
	instances      map[string]*instance

	keys         map[string]key.Key // by organisation
	withdrawn    map[string]time.Time
	sessions     map[string]string // tokens
	ids          map[string]string // request ids
	transactions map[string]string
	traffic      *traffic
	accounted    map[string]bool // request ids of earlier loads
}

func newFleet(directory string) (*fleet, error) {
	f := &fleet{
		directory: directory, logf: func(string, ...any) {}, setenv: func(string, string) {}, secret: randomSecret(),
		processes: map[string]*process{}, databases: map[string]*server{}, databaseFaults: map[string]*database.Faults{},
		instances: map[string]*instance{}, keys: map[string]key.Key{}, withdrawn: map[string]time.Time{},
		sessions: map[string]string{}, ids: map[string]string{}, transactions: map[string]string{},
		accounted: map[string]bool{},
	}
	for name, secret := range map[string]string{"operator.secret": f.secret, "fleet.secret": randomSecret()} {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(secret), 0o600); err != nil {
			return nil, eris.Wrap(err, "secret")
		}
	}
	return f, nil
}

func randomSecret() string {
	secret := make([]byte, 32)
	_, _ = rand.Read(secret)
	return hex.EncodeToString(secret)
}

func (f *fleet) close() {
	if f.traffic != nil {
		f.traffic.cancel()
		<-f.traffic.ended
	}
	for _, p := range slices.Backward(f.order) {
		p.kill()
	}
	if f.links != nil {
		f.links.close()
	}
	if err := keepLogs(filepath.Base(f.directory), f.order); err != nil {
		f.logf("logs: %v", err)
	}
}

// useLinks puts a proxy on every link of processes that start later.
func (f *fleet) useLinks() {
	f.links = newLinks(func(client, server net.Addr) string {
		pids := map[int]string{}
		f.mu.Lock()
		for name, p := range f.processes {
			if p.running() {
				pids[p.command.Process.Pid] = name
			}
		}
		f.mu.Unlock()
		return ownerOf(client, server, pids)
	})
}

// run starts a process, or starts it again. The keys name the listeners of its links.
func (f *fleet) run(p *process, keys ...string) error {
	f.mu.Lock()
	if known, ok := f.processes[p.name]; ok {
		p = known
	} else {
		p.log = filepath.Join(f.directory, p.name+".log")
		if f.links != nil {
			p.started = func() {
				for _, k := range keys {
					if err := f.links.open(k); err != nil {
						f.logf("%v", err)
					}
				}
			}
			p.gone = func() {
				for _, k := range keys {
					f.links.shut(k)
				}
			}
		}
		f.order = append(f.order, p)
	}
	f.mu.Unlock()
	if p.running() {
		return eris.Errorf("%s runs already", p.name)
	}
	err := p.start()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[p.name] = p
	return err
}

func (f *fleet) process(name string) (*process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.processes[name]; ok {
		return p, nil
	}
	return nil, eris.Errorf("no process %q", name)
}

// seen returns the address under which other processes reach a listener.
func (f *fleet) seen(key, name, address string) (string, error) {
	if f.links == nil {
		return address, nil
	}
	return f.links.add(key, name, address)
}

// server returns the addresses of a database server and makes them at the first call.
func (f *fleet) server(name string) (*server, error) {
	if s, ok := f.databases[name]; ok {
		return s, nil
	}
	if !slices.Contains(servers, name) {
		return nil, eris.Errorf("database %q; allowed: %v", name, servers)
	}
	s := &server{}
	if err := addresses(&s.clients, &s.replication, &s.control); err != nil {
		return nil, err
	}
	var err error
	if s.seenClients, err = f.seen(name, name, s.clients); err != nil {
		return nil, err
	}
	if s.seenReplication, err = f.seen(name+".replication", name, s.replication); err != nil {
		return nil, err
	}
	f.databases[name] = s
	f.databaseFaults[name] = &database.Faults{ServiceTimeMS: serviceTimeMS}
	return s, nil
}

func addresses(into ...*string) error {
	for _, a := range into {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		*a = address
	}
	return nil
}

// groupList is the platform's list of groups.
func (f *fleet) groupList() (rest.GroupsResponse, error) {
	g := rest.Group{Name: groupName}
	for i, name := range servers {
		s, err := f.server(name)
		if err != nil {
			return rest.GroupsResponse{}, err
		}
		g.Servers = append(g.Servers, rest.Server{
			Name: name, Place: places[i], Address: s.seenClients, Slots: slots, ConnectionLimit: connectionLimit,
		})
	}
	return rest.GroupsResponse{Groups: []rest.Group{g}}, nil
}

// startPlatform starts the platform with a list of instances; entries are of the form name=place.
func (f *fleet) startPlatform(instances []string) error {
	if f.platform.clients == "" {
		if err := addresses(&f.platform.clients, &f.platform.control); err != nil {
			return err
		}
		var err error
		if f.platform.seenClients, err = f.seen(platformName, platformName, f.platform.clients); err != nil {
			return err
		}
	}
	groups, err := f.groupList()
	if err != nil {
		return err
	}
	listed, err := f.instanceList(instances)
	if err != nil {
		return err
	}
	groupFile, instanceFile := filepath.Join(f.directory, "groups.json"), filepath.Join(f.directory, "instances.json")
	if err := errors.Join(writeJSON(groupFile, groups), writeJSON(instanceFile, listed)); err != nil {
		return err
	}
	return f.run(&process{
		name: platformName, path: filepath.Join(binaries, "standin"), listen: []string{f.platform.clients, f.platform.control},
		arguments: []string{
			"platform", "--address", f.platform.clients, "--control-address", f.platform.control, "--groups", groupFile,
			"--instances", instanceFile, "--file", filepath.Join(f.directory, "table.json"),
		},
	}, platformName)
}

func writeJSON(path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	return eris.Wrap(os.WriteFile(path, data, 0o600), "list of the platform")
}

func (f *fleet) startDatabase(name string, primary bool) error {
	s, err := f.server(name)
	if err != nil {
		return err
	}
	directory := filepath.Join(f.directory, name)
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return eris.Wrap(err, "directory of "+name)
	}
	peers := ""
	for _, other := range servers {
		if other == name {
			continue
		}
		o, err := f.server(other)
		if err != nil {
			return err
		}
		peers += other + "=" + o.seenReplication + ","
	}
	arguments := []string{
		"database", "--name", name, "--address", s.clients, "--replication-address", s.replication,
		"--control-address", s.control, "--directory", directory, "--peers", peers, "--slots", "2",
		"--connection-limit", "35", "--connection-delay", connectionDelay, "--service-time", serviceTime,
	}
	if primary {
		arguments = append(arguments, "--initial-primary")
	}
	return f.run(&process{
		name: name, path: filepath.Join(binaries, "standin"), arguments: arguments,
		listen: []string{s.clients, s.replication, s.control},
	}, name, name+".replication")
}

// instance returns the addresses of an instance and makes them at the first call.
func (f *fleet) instance(name string) (*instance, error) {
	if i, ok := f.instances[name]; ok {
		return i, nil
	}
	i := &instance{}
	if err := addresses(&i.callers, &i.peers, &i.operators); err != nil {
		return nil, err
	}
	var err error
	if i.seenPeers, err = f.seen(name, name, i.peers); err != nil {
		return nil, err
	}
	f.instances[name] = i
	return i, nil
}

func (f *fleet) startInstance(name, place string) error {
	i, err := f.instance(name)
	if err != nil {
		return err
	}
	return f.run(&process{
		name: name, path: filepath.Join(binaries, "tanagercrossd"), listen: []string{i.callers, i.peers, i.operators},
		arguments: []string{
			"--name", name, "--place", place, "--region", place, "--listen-callers", i.callers, "--listen-peers", i.peers,
			"--listen-operators", i.operators, "--advertise-peers", i.seenPeers,
			"--platform-url", "http://" + f.platform.seenClients, "--drain-deadline", drainDeadline,
			"--fleet-secret-file", filepath.Join(f.directory, "fleet.secret"),
			"--operator-secret-file", filepath.Join(f.directory, "operator.secret"),
		},
	}, name)
}

// operator returns a client of the operators' API of an instance.
func (f *fleet) operator(name string) (*operator.Client, error) {
	i, ok := f.instances[name]
	if !ok {
		return nil, eris.Errorf("no instance %q", name)
	}
	return operator.NewClient("http://"+i.operators, f.secret), nil
}

// runningInstances returns the names of the instances that run, in order.
func (f *fleet) runningInstances() []string {
	var names []string
	for name := range f.instances {
		if p, err := f.process(name); err == nil && p.running() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ready reports whether an instance takes requests.
func (f *fleet) ready(name string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + f.instances[name].callers + "/readyz")
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusNoContent
}
