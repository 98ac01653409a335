package main

import (
	"syscall"
	"time"
)

// playForgottenReplicas takes the store away for a moment, so that the entries of the servers run out, and kills all
// instances meanwhile. After the return of the store the servers report again one after the other, within two seconds.
func playForgottenReplicas(r *recorder, trouble bool) (int, error) {
	const (
		down     = 4500 * time.Millisecond
		killAt   = 2500 * time.Millisecond // after the store went down
		killTime = time.Second
	)
	d, err := newDeployment(options{
		groupName: "eira", servers: []string{"i-7f3a91c2", "i-2b84d0e6", "i-c05e6d13"},
		zones: []string{"litoral-a", "sertao-a", "agreste-a"}, syncReplicas: 1, promoteTime: time.Second,
		instances: map[string][]string{"agreste-a": {"front-agreste-a-1"}, "sertao-a": {"front-sertao-a-1"}, "litoral-a": {"front-litoral-a-1"}},
	}, r)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return failed, err
	}
	time.Sleep(10 * time.Second) // traffic starts that long after the machines
	for _, i := range d.instances {
		d.clients.start(i)
		d.clients.start(i)
	}
	time.Sleep(5 * time.Second)
	if trouble {
		d.store.setDown(true)
		time.Sleep(killAt)
		for _, i := range d.instances {
			i.signal(syscall.SIGKILL)
			i.kill()
		}
		time.Sleep(killTime)
		for _, i := range d.instances {
			if err := i.start(false); err != nil {
				return failed, err
			}
		}
		time.Sleep(down - killAt - killTime)
		d.group.mu.Lock()
		// The entries of live servers are back within about two seconds of the return of the store.
		for n, after := range []time.Duration{1700, 1700, 0} {
			d.group.servers[n].nextBeat = time.Now().Add(after * time.Millisecond)
		}
		d.group.mu.Unlock()
		d.store.setDown(false)
	}
	time.Sleep(15 * time.Second)
	d.clients.stop()
	return checkLost(d), nil
}
