package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout = 25 * time.Second
	readyPoll    = 50 * time.Millisecond
)

// regionOf maps zones to regions.
var regionOf = map[string]string{"agreste-a": "agreste", "sertao-a": "sertao", "litoral-a": "litoral"}

// daemon is one process of the system.
type daemon struct {
	name, zone, front, ready, settings, log string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// deployment holds the processes of the system and what stands outside of them.
type deployment struct {
	record  *record
	program []string
	folder  string
	store   *store
	cloud   *cloud
	http    []*http.Server

	mu      sync.Mutex
	daemons []*daemon
	groups  []*group
	stopped bool
}

func newDeployment(r *record, program string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, program: strings.Fields(program), folder: folder, store: newStore(r)}
	d.cloud = &cloud{record: r, groups: map[string]*group{}, tokens: map[string]uint64{}}
	for _, listen := range []func() (*http.Server, error){d.store.listen, d.cloud.listen} {
		s, err := listen()
		if err != nil {
			return nil, err
		}
		d.http = append(d.http, s)
	}
	return d, nil
}

// addGroup starts the servers of a service, the first of them as its primary.
func (d *deployment) addGroup(name string, synchronous int, zones ...string) (*group, error) {
	g, err := newGroup(d.record, d.store, name, synchronous, zones...)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.groups = append(d.groups, g)
	d.cloud.groups[name] = g
	return g, nil
}

// Ports of daemons lie below those that the system gives to outgoing connections: one of these could take a port between
// the check that it is free and the start of the daemon. Each process has a block of its own and gives each port once, so
// that scenarios that run side by side don't take each other's.
const (
	lowestPort   = 12_000
	portsOfBlock = 32
	portBlocks   = 600
)

var nextPort = lowestPort + os.Getpid()%portBlocks*portsOfBlock

// freePorts returns n ports of loopback on which nothing listens.
func freePorts(n int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < n; tries++ {
		port := nextPort
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil && tries > portsOfBlock {
			return nil, err
		}
		if err == nil {
			_ = l.Close()
			ports = append(ports, port)
		}
	}
	return ports, nil
}

// addDaemon starts a daemon with settings like those of a small deployment. extra lines replace or add settings.
func (d *deployment) addDaemon(name, zone string, extra ...string) (*daemon, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	x := &daemon{
		name: name, zone: zone, front: fmt.Sprintf("127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[1]),
		settings: filepath.Join(d.folder, name+".conf"), log: filepath.Join(d.folder, name+".log"),
	}
	lines := []string{
		"node=" + name, "role=entry", "machineClass=front", "serves=front", "ipAddress=127.0.0.1", "zone=" + zone,
		"region=" + regionOf[zone], "zones.agreste-a=agreste", "zones.sertao-a=sertao", "zones.litoral-a=litoral",
		"listen.front=" + x.front, "listen.ready=" + x.ready, fmt.Sprintf("internalPorts=%d,%d", ports[2], ports[2]),
		"firstStart=true", "limits.cpuShare=0.272", "limits.cores=1", "limits.memoryMb=206", "limits.fileDescriptors=3010",
		"limits.linkMbps=700.0", "limits.diskMb=0", "discovery=platform", "entry=virtual_ip", "heartbeatMs=1200",
		"bounds.contactMs=5000", "bounds.drainMs=7000", "bounds.graceS=6", "bounds.configMs=4000", "bounds.requireFence=true",
		"bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.quotaWindowS=5", "bounds.quotaOver=0.1", "bounds.quotaSlack=20",
		"platform.address=" + d.store.address, "platform.form=table", "cloud.address=" + d.cloud.address, "cloud.duties=promotion",
	}
	if err := os.WriteFile(x.settings, []byte(strings.Join(append(lines, extra...), "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.daemons = append(d.daemons, x)
	d.mu.Unlock()
	return x, d.startDaemon(x)
}

// startDaemon starts the process of a daemon.
func (d *deployment) startDaemon(x *daemon) error {
	log, err := os.OpenFile(x.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(d.program[0], d.program[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TANAGERCROSS_BOOT=" + x.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	x.mu.Lock()
	x.command, x.ended = c, ended
	x.mu.Unlock()
	d.record.notef("daemon %s started in %s", x.name, x.zone)
	go func() {
		err := c.Wait()
		d.record.notef("daemon %s ended: %v", x.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of a daemon.
func (d *deployment) signal(x *daemon, s syscall.Signal) {
	d.record.notef("daemon %s gets %v", x.name, s)
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.command.Process.Signal(s)
}

// awaitReady waits until all daemons answer their readiness checks with 200.
func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPoll) {
		ready := 0
		for _, x := range d.daemons {
			response, err := client.Get("http://" + x.ready + "/-/readiness")
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.daemons) {
			d.record.notef("all daemons are ready")
			return nil
		}
	}
	return fmt.Errorf("%w: the daemons are not ready in time", errCannotRun)
}

// keepLogs copies the logs of the daemons beside a path, for the reader of a record.
func (d *deployment) keepLogs() {
	if to := os.Getenv("KEEP_LOGS"); to != "" {
		for _, x := range d.daemons {
			if b, err := os.ReadFile(x.log); err == nil {
				_ = os.WriteFile(filepath.Join(to, x.name+".log"), b, 0o600)
			}
		}
	}
}

// stop ends all processes that the deployment started.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	d.stopped = true
	for _, x := range d.daemons {
		if x.command != nil {
			_ = x.command.Process.Kill()
			<-x.ended
		}
	}
	d.keepLogs()
	for _, g := range d.groups {
		close(g.ended)
	}
	for _, s := range d.http {
		_ = s.Close()
	}
	_ = os.RemoveAll(d.folder)
}
