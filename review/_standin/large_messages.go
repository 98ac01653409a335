package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["large-messages"] = largeMessages }

const (
	largeClients   = 120         // in a zone
	largeBytes     = 1<<20 - 200 // of an item; a message may have 1 MiB
	usualBytes     = 100         // of an item without the disruption
	memoryLimitMB  = 206         // limits.memoryMb
	memoryPoll     = 20 * time.Millisecond
	largeRounds    = 4
	roundTime      = 12 * time.Second
	restartDelay   = time.Second
	endsOfMachine  = 3 // in a day, from which a machine counts for the rule
	machinesOfRule = 2
)

// memoryMB returns the resident memory of a daemon, 0 if it does not run.
func memoryMB(x *daemon) int {
	x.mu.Lock()
	path := fmt.Sprintf("/proc/%d/status", x.command.Process.Pid)
	x.mu.Unlock()
	f, err := os.Open(path)
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// limitMemory kills a daemon whose memory exceeds its limit and starts it again, as the platform does, until stop is
// closed. It returns how often that happened and the most memory seen, in MB.
func (d *deployment) limitMemory(x *daemon, stop <-chan struct{}) (ends, most int) {
	for {
		select {
		case <-stop:
			return ends, most
		case <-time.After(memoryPoll):
		}
		mb := memoryMB(x)
		most = max(most, mb)
		if mb <= memoryLimitMB {
			continue
		}
		ends++
		d.record.notef("daemon %s uses %d MB, more than its limit of %d MB", x.name, mb, memoryLimitMB)
		d.signal(x, syscall.SIGKILL)
		<-x.ended
		time.Sleep(restartDelay)
		if err := d.startDaemon(x); err != nil {
			d.record.notef("daemon %s does not start: %v", x.name, err)
			return ends, most
		}
	}
}

// writeAtOnce lets the clients of a zone each write one item at the same moment.
func writeAtOnce(r *record, x *daemon, data string, done *sync.WaitGroup) {
	var connected sync.WaitGroup
	begin := make(chan struct{})
	for n := range largeClients {
		connected.Add(1)
		done.Go(func() {
			c, err := connect(r, fmt.Sprintf("%s-c%d", x.zone, n), x.front, databaseName, keyOfTenant)
			connected.Done()
			if err != nil {
				r.notef("client %s-c%d: %v", x.zone, n, err)
				return
			}
			defer c.close()
			<-begin
			_, _ = c.query(fmt.Sprintf("WRITE item-%d %s", n, data))
		})
	}
	connected.Wait()
	close(begin)
}

// largeMessages lets the clients of two zones write large items, several times.
func largeMessages(d *deployment, trouble bool) error {
	d.store.put("op", "config", operatorConfiguration(7, 0))
	zones := []string{"agreste-a", "sertao-a", "litoral-a"}
	if _, err := d.addGroup(serviceName, 0, zones...); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	for _, zone := range zones {
		if _, err := d.addDaemon("front-"+zone+"-1", zone); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(quietBefore)
	size := usualBytes
	if trouble {
		size = largeBytes
	}
	stop, data := make(chan struct{}), strings.Repeat("p", size)
	var watchers, clients sync.WaitGroup
	ends, most := make([]int, len(d.daemons)), make([]int, len(d.daemons))
	for n, x := range d.daemons {
		watchers.Go(func() { ends[n], most[n] = d.limitMemory(x, stop) })
	}
	for range largeRounds {
		for _, x := range d.daemons[1:] {
			go writeAtOnce(d.record, x, data, &clients)
		}
		time.Sleep(roundTime)
	}
	close(stop)
	watchers.Wait()
	clients.Wait()
	machines := 0
	for n, x := range d.daemons {
		d.record.notef("daemon %s: at most %d MB, over its limit %d times", x.name, most[n], ends[n])
		if ends[n] >= endsOfMachine {
			machines++
		}
	}
	if machines >= machinesOfRule {
		d.record.breakf("Fault: %d of %d machines were over their memory limit %d times or more", machines, len(d.daemons), endsOfMachine)
	}
	return nil
}
