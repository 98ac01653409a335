package main

import "time"

// playRebornReplica lets one replica receive nothing for a while. Meanwhile the other one crashes behind a cut from the store
// and starts again with nothing, and the primary crashes.
func playRebornReplica(r *recorder, trouble bool) (int, error) {
	const (
		deafTime  = 6 * time.Second
		cutAfter  = 500 * time.Millisecond // each after the one before
		diesAfter = 500 * time.Millisecond
		downAfter = time.Second
		bornAfter = 500 * time.Millisecond
		cutTime   = 5 * time.Second
		downTime  = 7 * time.Second // of the primary
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
		primary, reborn, deaf := d.group.servers[0], d.group.servers[1], d.group.servers[2]
		began := time.Now()
		d.group.set(deaf, func(s *server) { s.deaf = true })
		r.printf("server %s receives nothing", deaf.id)
		time.Sleep(cutAfter)
		healed := time.Now().Add(cutTime)
		d.group.set(reborn, func(s *server) { s.withStore = false })
		r.printf("server %s is cut off the store", reborn.id)
		time.Sleep(diesAfter)
		d.group.crash(reborn)
		time.Sleep(downAfter)
		d.group.crash(primary)
		back := time.Now().Add(downTime)
		time.Sleep(bornAfter)
		d.group.set(reborn, func(s *server) {
			s.log, s.arrived, s.term, s.bornMS = nil, nil, 0, time.Now().UnixMilli()
		})
		if err := d.group.restart(reborn); err != nil {
			return failed, err
		}
		time.Sleep(time.Until(healed))
		d.group.set(reborn, func(s *server) { s.withStore = true })
		r.printf("server %s reaches the store again", reborn.id)
		time.Sleep(time.Until(began.Add(deafTime)))
		d.group.set(deaf, func(s *server) { s.deaf = false })
		r.printf("server %s receives again", deaf.id)
		time.Sleep(time.Until(back))
		if err := d.group.restart(primary); err != nil {
			return failed, err
		}
	}
	time.Sleep(10 * time.Second)
	d.clients.stop()
	return checkLost(d), nil
}
