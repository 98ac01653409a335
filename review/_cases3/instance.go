package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is one process of the daemon, started as the deploy file says.
type instance struct {
	name, zone, front, ready, settings, logPath string
	log                                         *recorder

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	ends    int // that nobody asked for
	asked   bool
}

// Range in which ports in a row are looked for. It is below the usual range of ports for outgoing connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

// ports returns the first of n free ports in a row.
func ports(n int) (int, error) {
	for range 200 {
		first := firstPort + rand.IntN(lastPort-firstPort)
		free := true
		for p := first; p < first+n && free; p++ {
			l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

func newInstance(dir, name, zone string, zones []string, storeAddress string, log *recorder) (*instance, error) {
	first, err := ports(8)
	if err != nil {
		return nil, err
	}
	at := func(n int) string { return "127.0.0.1:" + strconv.Itoa(first+n) }
	i := &instance{name: name, zone: zone, front: at(0), ready: at(1), settings: filepath.Join(dir, name+".conf"), logPath: filepath.Join(dir, name+".log"), log: log}
	return i, i.write(zones, storeAddress, first, true)
}

// write writes the settings file, like that of the small deployment.
func (i *instance) write(zones []string, storeAddress string, first int, firstStart bool) error {
	lines := []string{
		"node=" + i.name, "role=entry", "machineClass=front", "serves=front", "ipAddress=127.0.0.1", "zone=" + i.zone, "region=r-" + i.zone,
		"listen.front=" + i.front, "listen.ready=" + i.ready, fmt.Sprintf("internalPorts=%d,%d", first+3, first+7),
		fmt.Sprintf("firstStart=%t", firstStart), "limits.cpuShare=0.272", "limits.cores=1", "limits.memoryMb=206",
		"limits.fileDescriptors=3010", "limits.linkMbps=700.0", "limits.diskMb=0", "discovery=platform", "entry=virtual_ip",
		"heartbeatMs=1200", "contracts=base,drain,config,cost,recover,sql,tenants,quota,platform", "tolerate.machines=1",
		"bounds.contactMs=5000", "bounds.ackMs=6000", "bounds.drainMs=7000", "bounds.graceS=6", "bounds.lossSlackMs=200",
		"bounds.configMs=4000", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=15000", "bounds.strictRevoke=false",
		"bounds.revokeMs=5000", "bounds.quotaWindowS=5", "bounds.requireFence=true", "platform.address=" + storeAddress,
		"platform.form=table", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.transactionMs=4.0",
		"cloud.address=" + storeAddress, "cloud.duties=promotion", "cloud.dutyPerS=50.0",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"=r-"+z)
	}
	return os.WriteFile(i.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start runs the process. If restart is set, the process is started again when it ends and nobody has asked for that.
func (i *instance) start(restart bool) error {
	out, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/tanagercrossd", "platform")
	c.Env = append(os.Environ(), "TANAGERCROSS_BOOT="+i.settings)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.mu.Lock()
	i.command, i.ended, i.asked = c, ended, false
	i.mu.Unlock()
	go func() {
		err := c.Wait()
		_ = out.Close()
		i.mu.Lock()
		asked := i.asked
		if !asked {
			i.ends++
		}
		i.mu.Unlock()
		close(ended)
		i.log.add("ended", map[string]any{"process": i.name, "asked": asked, "how": fmt.Sprint(err)})
		if !asked && restart {
			time.Sleep(300 * time.Millisecond)
			_ = i.start(true)
		}
	}()
	return nil
}

func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.command.Process.Pid
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal, asked bool) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.asked = i.asked || asked
	i.log.add("signal", map[string]any{"process": i.name, "signal": s.String()})
	_ = i.command.Process.Signal(s)
	return i.ended
}

func (i *instance) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + i.ready + "/-/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", i.name)
}
