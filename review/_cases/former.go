package main

import "time"

// playFormerPrimary crashes the primary, which comes back as a replica behind a cut from the store. It receives and acknowledges
// commits of the new primary without an entry. Then the other replica receives nothing for a while, and the new primary crashes.
func playFormerPrimary(r *recorder, trouble bool) (int, error) {
	const (
		downTime  = 7 * time.Second // of the first primary
		cutBefore = 500 * time.Millisecond
		cutTime   = 5 * time.Second
		deafAfter = time.Second // after the return of the first primary
		deafTime  = 6 * time.Second
		crashWait = 2 * time.Second // after the beginning of that
	)
	d, err := newDeployment(options{
		groupName: "eira", servers: []string{"i-7f3a91c2", "i-2b84d0e6", "i-c05e6d13"},
		zones: []string{"agreste-a", "sertao-a", "litoral-a"}, syncReplicas: 1, promoteTime: 300 * time.Millisecond,
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
		if err := disturbFormerPrimary(d, downTime, cutBefore, cutTime, deafAfter, deafTime, crashWait); err != nil {
			return failed, err
		}
	}
	time.Sleep(10 * time.Second)
	d.clients.stop()
	return checkLost(d), nil
}

func disturbFormerPrimary(d *deployment, downTime, cutBefore, cutTime, deafAfter, deafTime, crashWait time.Duration) error {
	former := d.group.servers[0]
	d.group.crash(former)
	time.Sleep(downTime - cutBefore)
	d.group.set(former, func(s *server) { s.withStore = false })
	d.record.printf("server %s is cut off the store", former.id)
	healed := time.Now().Add(cutTime)
	time.Sleep(cutBefore)
	if err := d.group.restart(former); err != nil {
		return err
	}
	time.Sleep(deafAfter)
	primary, deaf := d.group.leaderAndOther(former)
	d.group.set(deaf, func(s *server) { s.deaf = true })
	d.record.printf("server %s receives nothing", deaf.id)
	hears := time.Now().Add(deafTime)
	time.Sleep(crashWait)
	d.group.crash(primary)
	back := time.Now().Add(downTime)
	time.Sleep(time.Until(healed))
	d.group.set(former, func(s *server) { s.withStore = true })
	d.record.printf("server %s reaches the store again", former.id)
	time.Sleep(time.Until(hears))
	d.group.set(deaf, func(s *server) { s.deaf = false })
	d.record.printf("server %s receives again", deaf.id)
	time.Sleep(time.Until(back))
	return d.group.restart(primary)
}

// leaderAndOther returns the primary and the server that is neither the primary nor the given one.
func (g *group) leaderAndOther(former *server) (primary, other *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s != former && s != g.primary {
			other = s
		}
	}
	return g.primary, other
}
