package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

func init() { scenarios["busy-release"] = busyRelease }

const (
	releases        = 6
	drainTime       = 7 * time.Second // drainMs
	serverLinger    = time.Second     // beyond drainTime
	releaseInterval = 13 * time.Second
	behindMean      = 60.0 // ms, of the replicas of msft-pool
	behindSpread    = 0.6
	behindMost      = 360.0
	releaseWriters  = 6 // at each daemon
	busyPause       = 5 * time.Millisecond
)

// behind returns how long a commit is under way to a replica.
func behind() time.Duration {
	ms := behindMean * math.Exp(behindSpread*rand.NormFloat64()-behindSpread*behindSpread/2)
	return time.Duration(min(ms, behindMost) * float64(time.Millisecond))
}

// release lets a server drain and, when its time is over, puts a new server at its address, with its log.
func (g *group) release(x *server) {
	g.mu.Lock()
	g.record.notef("server %s is to be replaced: it drains", x.id)
	x.draining = true
	x.beat()
	g.mu.Unlock()
	time.Sleep(drainTime + serverLinger)
	g.mu.Lock()
	defer g.mu.Unlock()
	if x.primary {
		g.record.notef("server %s still leads and stays", x.id)
		x.draining = false
		x.beat()
		return
	}
	g.store.drop("servers", x.id)
	x.generation++
	x.id = fmt.Sprintf("%s%c", x.name, 'a'+rune(x.generation))
	x.draining, x.paused, x.born = false, false, time.Now().UnixMilli()
	for c := range x.open {
		_ = c.Close()
	}
	g.record.notef("server %s is new at its address", x.id)
	x.beat()
}

// busyRelease replaces the primary several times while clients write. Nothing else happens.
func busyRelease(d *deployment, trouble bool) error {
	d.store.put("op", "config", operatorConfiguration(7, 1))
	zones := []string{"agreste-a", "sertao-a", "litoral-a"}
	g, err := d.addGroup(serviceName, 1, zones...)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	g.mu.Lock()
	g.transit = behind
	g.mu.Unlock()
	for _, zone := range zones {
		if _, err := d.addDaemon("front-"+zone+"-1", zone); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	for n, x := range d.daemons {
		for m := range releaseWriters {
			go writer(d.record, fmt.Sprintf("c%d-%d", n+1, m+1), x.front, databaseName, keyOfTenant, busyPause, stop)
		}
	}
	time.Sleep(quietBefore)
	for range releases {
		if trouble {
			g.mu.Lock()
			x := g.leader()
			g.mu.Unlock()
			if x != nil {
				go g.release(x)
			}
		}
		time.Sleep(releaseInterval)
	}
	return nil
}
