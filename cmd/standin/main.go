// Command standin runs the stand-ins of the databases and of the platform for tests and trials.
//
// # Usage
//
//	standin platform --address 127.0.0.1:7000 --control-address 127.0.0.1:7001 --groups groups.json
//	standin database --name meals-1-a --address 127.0.0.1:5432 --replication-address 127.0.0.1:6432 \
//		--directory /tmp/meals-1-a --peers meals-1-b=127.0.0.1:6433,meals-1-c=127.0.0.1:6434 --initial-primary
//
// Both run until SIGTERM or SIGINT.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"tanagercross/internal/service/rest"
	"tanagercross/internal/service/store"
	"tanagercross/internal/standin/database"
	"tanagercross/internal/standin/platform"
)

const controlReadTimeout = 5 * time.Second

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(arguments []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if len(arguments) == 0 {
		return eris.New("name a stand-in: platform or database")
	}
	switch arguments[0] {
	case "platform":
		return runPlatform(ctx, arguments[1:])
	case "database":
		return runDatabase(ctx, arguments[1:])
	}
	return eris.Errorf("unknown stand-in %q; allowed: platform, database", arguments[0])
}

func parse(name string, arguments []string, define func(p *flaggy.Parser)) error {
	p := flaggy.NewParser("standin " + name)
	define(p)
	return eris.Wrap(p.ParseArgs(arguments), "flags")
}

func runPlatform(ctx context.Context, arguments []string) error {
	c := platform.Config{}
	var groups, instances string
	err := parse("platform", arguments, func(p *flaggy.Parser) {
		p.String(&c.Address, "", "address", "listener of the platform surface")
		p.String(&c.ControlAddress, "", "control-address", "listener of the control surface")
		p.String(&c.File, "", "file", "keeps the table over restarts")
		p.String(&groups, "", "groups", "JSON file with the group list")
		p.String(&instances, "", "instances", "JSON file with the instance list")
	})
	if err != nil {
		return err
	}
	if c.Groups, err = readGroups(groups); err != nil {
		return err
	}
	if c.Instances, err = readInstances(instances); err != nil {
		return err
	}
	s, err := platform.Start(ctx, c)
	if err != nil {
		return err
	}
	fmt.Printf("platform %s control %s\n", s.Addr(), s.ControlAddr())
	<-ctx.Done()
	s.Stop()
	return nil
}

func readJSON(path string, into any) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read list")
	}
	return eris.Wrap(json.Unmarshal(data, into), "parse "+path)
}

func readGroups(path string) ([]store.Group, error) {
	var list rest.GroupsResponse
	if err := readJSON(path, &list); err != nil {
		return nil, err
	}
	groups := make([]store.Group, 0, len(list.Groups))
	for _, g := range list.Groups {
		groups = append(groups, g.Group())
	}
	return groups, nil
}

func readInstances(path string) ([]store.ListedInstance, error) {
	var list rest.InstancesResponse
	if err := readJSON(path, &list); err != nil {
		return nil, err
	}
	instances := make([]store.ListedInstance, 0, len(list.Instances))
	for _, i := range list.Instances {
		instances = append(instances, store.ListedInstance(i))
	}
	return instances, nil
}

func runDatabase(ctx context.Context, arguments []string) error {
	c := database.Config{ConnectionLimit: 35, Slots: 2}
	var peers, control string
	var delay, service, lag time.Duration
	err := parse("database", arguments, func(p *flaggy.Parser) {
		p.String(&c.Name, "", "name", "name of the server")
		p.String(&c.Address, "", "address", "listener for clients")
		p.String(&c.ReplicationAddress, "", "replication-address", "listener for the other servers")
		p.String(&control, "", "control-address", "listener of the control surface; absent: none")
		p.String(&c.Directory, "", "directory", "holds the log")
		p.String(&peers, "", "peers", "other servers, name=host:port, separated by commas")
		p.Bool(&c.InitialPrimary, "", "initial-primary", "become primary of term 1")
		p.Int(&c.ConnectionLimit, "", "connection-limit", "connections")
		p.Int(&c.Slots, "", "slots", "statements at the same time")
		p.Duration(&delay, "", "connection-delay", "added to each new connection")
		p.Duration(&service, "", "service-time", "added to each statement")
		p.Duration(&lag, "", "lag", "replication lag")
	})
	if err != nil {
		return err
	}
	c.ConnectionDelay, c.ServiceTime, c.Lag = delay, service, lag
	if c.Peers, err = parsePeers(peers); err != nil {
		return err
	}
	s, err := database.Start(ctx, c)
	if err != nil {
		return err
	}
	defer s.Stop()
	if err := serveControl(ctx, control, s.ControlHandler()); err != nil {
		return err
	}
	fmt.Printf("database %s %s\n", c.Name, s.Addr())
	<-ctx.Done()
	return nil
}

// serveControl serves the control surface until the context ends.
func serveControl(ctx context.Context, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen for control")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: controlReadTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return nil
}

func parsePeers(text string) ([]database.Peer, error) {
	var peers []database.Peer
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		name, address, ok := strings.Cut(part, "=")
		if !ok {
			return nil, eris.Errorf("peer %q; allowed: name=host:port", part)
		}
		peers = append(peers, database.Peer{Name: name, Address: address})
	}
	return peers, nil
}
