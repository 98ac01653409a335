package main

import "time"

// playUnlistedReplica cuts a replica off the store, so that its entry runs out while it goes on receiving commits. Later the
// other replica receives nothing for a while, and the primary crashes meanwhile.
func playUnlistedReplica(r *recorder, trouble bool) (int, error) {
	const (
		cutTime   = 20 * time.Second // of the replica from the store
		deafAfter = 16 * time.Second // after the beginning of that cut
		deafTime  = 6 * time.Second  // of the other replica
		crashWait = 2 * time.Second  // after that one has become deaf
		crashTime = 7 * time.Second
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
		primary, cut, deaf := d.group.servers[0], d.group.servers[1], d.group.servers[2]
		d.group.set(cut, func(s *server) { s.withStore = false })
		r.printf("server %s is cut off the store", cut.id)
		healed := time.Now().Add(cutTime)
		time.Sleep(deafAfter)
		d.group.set(deaf, func(s *server) { s.deaf = true })
		r.printf("server %s receives nothing", deaf.id)
		time.Sleep(crashWait)
		d.group.crash(primary)
		time.Sleep(time.Until(healed))
		d.group.set(cut, func(s *server) { s.withStore = true })
		r.printf("server %s reaches the store again", cut.id)
		time.Sleep(deafTime - crashWait - (cutTime - deafAfter - crashWait))
		d.group.set(deaf, func(s *server) { s.deaf = false })
		r.printf("server %s receives again", deaf.id)
		time.Sleep(crashTime - (deafTime - crashWait))
		if err := d.group.restart(primary); err != nil {
			return failed, err
		}
	}
	time.Sleep(8 * time.Second)
	d.clients.stop()
	return checkLost(d), nil
}
