package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// deployment is a small deployment: the platform's store, one service of three servers, and instances.
type deployment struct {
	record    *recorder
	folder    string   // temporary
	command   []string // of the deploy file
	network   string   // first two bytes of all addresses
	store     *store
	group     *group
	instances []*instance
	clients   *clients
}

const (
	databaseName = "pedido"
	tenant       = "nypu920"
	apiKey       = "k7m2c9x4q1"
	otherTenant  = "gaso417"
	otherKey     = "u6wsjnbanf"
	readyTimeout = 20 * time.Second
)

// options are what differs between the cases.
type options struct {
	groupName    string
	servers      []string // ids, in the order of zones; the first one leads
	zones        []string // of the servers
	syncReplicas int
	promoteTime  time.Duration
	instances    map[string][]string // names, by zone
}

// newDeployment starts the stand-ins and the instances, and waits until these are ready.
func newDeployment(o options, record *recorder) (*deployment, error) {
	d := &deployment{record: record}
	var err error
	if d.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if d.command, err = deployCommand(); err != nil {
		return nil, err
	}
	if d.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	d.group = newGroup(o.groupName, o.syncReplicas, o.promoteTime, time.Millisecond, record)
	if d.store, err = startStore(d.group, d.network+".200.1", record); err != nil {
		return nil, err
	}
	for n, id := range o.servers {
		if _, err := d.group.add(id, o.zones[n], fmt.Sprintf("%s.128.%d", d.network, n+1)); err != nil {
			return nil, err
		}
	}
	go d.group.replicate()
	if err := d.store.configure(configuration(o)); err != nil {
		return nil, err
	}
	d.clients = newClients(d)
	zone := 0
	for _, name := range []string{"agreste-a", "sertao-a", "litoral-a"} {
		zone++
		for n, instanceName := range o.instances[name] {
			d.instances = append(d.instances, &instance{d: d, name: instanceName, zone: name, ip: fmt.Sprintf("%s.%d.%d", d.network, zone, n+1)})
		}
	}
	for _, i := range d.instances {
		if err := i.start(true); err != nil {
			return nil, err
		}
	}
	return d, d.awaitReady()
}

// awaitReady waits until all instances are ready.
func (d *deployment) awaitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, i := range d.instances {
		for !i.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("instance %s is not ready", i.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	d.record.printf("%d instances are ready", len(d.instances))
	return nil
}

// instance returns an instance by name.
func (d *deployment) instance(name string) *instance {
	for _, i := range d.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

// server returns a server by id.
func (d *deployment) server(id string) *server {
	for _, s := range d.group.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// stop ends the processes. With the environment variable KEEP, their logs stay in the temporary folder.
func (d *deployment) stop() {
	for _, i := range d.instances {
		i.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs:", d.folder)
	}
}

// deployCommand returns the command of the deploy file, from the repository's root.
func deployCommand() ([]string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no command")
}

// freeNetwork returns the first two bytes of loopback addresses on which the ports of an instance are free.
func freeNetwork() (string, error) {
	for n := 60; n < 250; n++ {
		network := fmt.Sprintf("127.%d", n)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1.1:%d", network, frontPort))
		if err != nil {
			continue
		}
		lock, err := net.Listen("tcp", fmt.Sprintf("%s.255.1:%d", network, frontPort))
		_ = l.Close()
		if err != nil {
			continue
		}
		reserved = lock // until the process ends
		return network, nil
	}
	return "", errors.New("no free loopback addresses")
}

// reserved keeps other runs of the cases off the addresses of this one.
var reserved net.Listener

// configuration returns the operator's configuration.
func configuration(o options) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": databaseName, "prefix": "/", "kind": "primary", "timeoutMs": 800, "latencyGoalMs": 600,
			"priority": 1, "service": o.groupName, "attempts": 2, "public": false,
		}},
		"services": []any{map[string]any{
			"name": o.groupName, "healthPath": "/health", "connectionCap": 34, "protocol": "h1", "tls": false,
			"syncReplicas": o.syncReplicas,
		}},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleMs": 15000, "transactionIdleMs": 3000},
		"tenants": []any{
			map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1, "ratePerS": 400, "burst": 400},
			map[string]any{"name": otherTenant, "apiKeys": []string{otherKey}, "priority": 1, "ratePerS": 118, "burst": 118},
		},
	}
}
