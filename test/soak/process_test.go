package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tanagercross/internal/standin/network"
	"tanagercross/internal/standin/wire"
	"tanagercross/internal/tool/deployment"
)

const (
	gracePeriod  = 4 * time.Second
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
)

// instance is one process with proxies before its listeners for callers and for other instances, and on its way to the
// platform.
type instance struct {
	name     string
	settings string // path
	log      string // path
	ready    string // URL
	callers  *wire.Proxy
	store    *wire.Proxy
	peers    *wire.Proxy

	mu        sync.Mutex
	command   *exec.Cmd
	ended     chan struct{}
	disturbed time.Time // last moment at which the process or its connections were disturbed
}

func newInstance(t *testing.T, directory, name, place string, platform *wire.Platform) *instance {
	t.Helper()
	addresses, err := network.FreeAddresses(3)
	if err != nil {
		t.Fatal(err)
	}
	i := &instance{
		name: name, settings: filepath.Join(directory, name+".conf"), log: filepath.Join(directory, name+".log"),
		ready: "http://" + addresses[1] + "/",
	}
	for _, p := range []struct {
		proxy  **wire.Proxy
		target string
	}{{&i.callers, addresses[0]}, {&i.store, platform.StoreAddress()}, {&i.peers, addresses[2]}} {
		if *p.proxy, err = wire.NewProxy(p.target); err != nil {
			t.Fatal(err)
		}
		t.Cleanup((*p.proxy).Stop)
	}
	platform.Redirect(addresses[2], i.peers)
	port := addresses[2][strings.LastIndex(addresses[2], ":")+1:]
	text := strings.Join([]string{
		"node=" + name, "zone=" + place, "ipAddress=127.0.0.1", "listen.front=" + addresses[0], "listen.ready=" + addresses[1],
		"internalPorts=" + port + "," + port, "platform.address=" + i.store.Address(), "cloud.address=" + i.store.Address(),
		"limits.fileDescriptors=2048", "limits.memoryMb=256", fmt.Sprintf("bounds.graceS=%g", gracePeriod.Seconds()),
		"firstStart=true", "",
	}, "\n")
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return i
}

// start runs the process, if it does not run.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		return nil
	}
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, "platform")
	command.Env = append(os.Environ(), "TANAGERCROSS_BOOT="+i.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := deployment.StartProcess(command); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.command, i.ended = command, ended
	go func() {
		_ = command.Wait()
		i.mu.Lock()
		i.command = nil
		i.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process and notes that the instance is disturbed. It returns a channel that is closed at
// the end of the process.
func (i *instance) signal(s syscall.Signal) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbed = time.Now()
	if i.command == nil {
		none := make(chan struct{})
		close(none)
		return none
	}
	_ = i.command.Process.Signal(s) // the process may have ended by itself
	return i.ended
}

func (i *instance) disturb() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbed = time.Now()
}

func (i *instance) disturbedSince(moment time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.command == nil || i.disturbed.After(moment)
}

func (i *instance) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPoll) {
		response, err := client.Get(i.ready)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready %v after its start", i.name, readyTimeout)
}
