package main

import (
	"fmt"
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
	frontPort   = 8465
	readyPort   = 8460
	controlPort = 8462
	firstPeer   = 7560
	lastPeer    = 7575
)

// instance is one machine of the system with its process.
type instance struct {
	d          *deployment
	name, zone string
	ip         string

	mu      sync.Mutex
	process *exec.Cmd
	log     *os.File
}

func (i *instance) front() string { return fmt.Sprintf("%s:%d", i.ip, frontPort) }

// settings returns the settings file, like that of DEPLOY.md.
func (i *instance) settings(first bool) string {
	var b strings.Builder
	add := func(key string, value any) { fmt.Fprintf(&b, "%s=%v\n", key, value) }
	add("node", i.name)
	add("role", "entry")
	add("machineClass", "front")
	add("serves", "front")
	add("ipAddress", i.ip)
	add("zone", i.zone)
	add("region", regions[i.zone])
	for zone, region := range regions {
		add("zones."+zone, region)
	}
	add("listen.front", i.front())
	add("listen.ready", fmt.Sprintf("%s:%d", i.ip, readyPort))
	add("listen.control", fmt.Sprintf("%s:%d", i.ip, controlPort))
	add("internalPorts", fmt.Sprintf("%d,%d", firstPeer, lastPeer))
	add("seeds", "")
	add("firstStart", first)
	add("lossCounted", false)
	b.WriteString(commonSettings)
	add("platform.address", i.d.store.address)
	add("cloud.address", i.d.store.address)
	return b.String()
}

// regions holds the region of each zone, as on the sheet of mutirao-eira.
var regions = map[string]string{"agreste-a": "agreste", "sertao-a": "sertao", "litoral-a": "litoral"}

const commonSettings = `limits.cpuShare=0.272
limits.cores=1
limits.memoryMb=206
limits.fileDescriptors=3010
limits.linkMbps=700.0
limits.diskMb=0
discovery=platform
entry=virtual_ip
heartbeatMs=1200
contracts=base,drain,config,cost,recover,sql,tenants,quota,platform
tolerate.machines=1
tolerate.zones=0
tolerate.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=5000
bounds.ackMs=6000
bounds.catchUpS=4
bounds.drainMs=7000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configMs=4000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=15000
bounds.strictRevoke=false
bounds.revokeMs=5000
bounds.quotaWindowS=5
bounds.quotaOver=0.1
bounds.quotaSlack=20
bounds.recoverS=12
bounds.requireFence=true
bounds.thawMs=300
platform.form=table
platform.writesPerS=400
platform.readsPerS=2000
platform.transactionMs=4.0
platform.partitionWritesS=250
platform.rowBytes=65536
platform.across=true
platform.historyS=20
platform.blobBytes=8388608
platform.blobMs=25.0
platform.blobMbS=80.0
cloud.ratePerS=50.0
cloud.duties=promotion
cloud.dutyPerS=50.0
`

// start starts the process of an instance with the command of the deploy file.
func (i *instance) start(first bool) error {
	path := filepath.Join(i.d.folder, i.name+".conf")
	if err := os.WriteFile(path, []byte(i.settings(first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.d.folder, i.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.log = log
	i.process = exec.Command(i.d.command[0], i.d.command[1:]...)
	i.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.d.folder, "TANAGERCROSS_BOOT=" + path}
	i.process.Stdout, i.process.Stderr = log, log
	// The process ends with this one, whatever ends it.
	i.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.process.Start(); err != nil {
		return err
	}
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(s)
	}
	i.d.record.printf("instance %s gets %s", i.name, s)
}

// kill kills the process and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return
	}
	_ = i.process.Process.Kill()
	_ = i.process.Wait()
	_ = i.log.Close()
	i.process = nil
}

// ready reports whether the readiness check of an instance is answered with 200.
func (i *instance) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/-/readiness", i.ip, readyPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
