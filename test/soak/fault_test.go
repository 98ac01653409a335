package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"tanagercross/internal/standin/process"
	"tanagercross/internal/standin/wire"
)

// disturbance is one kind of fault. It begins the fault and returns what it is called and how it ends.
type disturbance func(x *trial, r *rand.Rand) (name string, end func())

// disturbances that a trial draws from.
var disturbances = []disturbance{
	terminate, killInstance, pauseInstance, reload, cutStore, harmCallers, harmPeers, crashServer, darkenServer, harmServer, delayReplica,
	loseAnswers, harmStore, changeConfiguration,
}

// prioritisedDisturbances are drawn beside the others in seeds with priorities.
var prioritisedDisturbances = []disturbance{overload, overload}

// Lengths of a fault.
const (
	leastLength = 200 * time.Millisecond
	mostLength  = 3500 * time.Millisecond
	betweenMost = 900 * time.Millisecond
)

// disturb brings faults about, up to mostFaultsAtOnce together, and returns once all have ended.
func (x *trial) disturb(length time.Duration) {
	var running sync.WaitGroup
	slots := make(chan struct{}, mostFaultsAtOnce)
	for deadline := time.Now().Add(length); time.Now().Before(deadline); {
		kinds := disturbances
		if x.prioritised() {
			kinds = append(slices.Clip(kinds), prioritisedDisturbances...)
		}
		d := kinds[x.random.IntN(len(kinds))]
		lasts := leastLength + time.Duration(x.random.Int64N(int64(mostLength-leastLength)))
		r := rand.New(rand.NewPCG(x.random.Uint64(), 0))
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			name, end := d(x, r)
			x.event("%s for %v", name, lasts.Round(time.Millisecond))
			time.Sleep(lasts)
			end()
			x.event("%s ended", name)
		})
		time.Sleep(time.Duration(x.random.Int64N(int64(betweenMost))))
	}
	running.Wait()
}

func (x *trial) anyInstance(r *rand.Rand) *process.Instance {
	return x.instances[r.IntN(len(x.instances))]
}

// anyServer returns a primary half of the time.
func (x *trial) anyServer(r *rand.Rand) string {
	if id := x.cluster.Primary(groups[r.IntN(len(groups))]); r.IntN(2) == 0 && id != "" {
		return id
	}
	return groups[r.IntN(len(groups))] + "-" + places[r.IntN(len(places))]
}

func (x *trial) restart(i *process.Instance) {
	if err := i.Start(); err != nil {
		x.fault("%s does not start: %v", i.Name, err)
	}
	i.Disturb()
}

func terminate(x *trial, r *rand.Rand) (string, func()) {
	i := x.anyInstance(r)
	ended := i.Signal(syscall.SIGTERM)
	return "SIGTERM to " + i.Name, func() {
		select {
		case <-ended:
		case <-time.After(process.GracePeriod + mostLength): // another fault may have stopped the process
			<-i.Signal(syscall.SIGKILL)
		}
		x.restart(i)
	}
}

func killInstance(x *trial, r *rand.Rand) (string, func()) {
	i := x.anyInstance(r)
	<-i.Signal(syscall.SIGKILL)
	return "SIGKILL to " + i.Name, func() { x.restart(i) }
}

func pauseInstance(x *trial, r *rand.Rand) (string, func()) {
	i := x.anyInstance(r)
	i.Signal(syscall.SIGSTOP)
	return "SIGSTOP to " + i.Name, func() { i.Signal(syscall.SIGCONT) }
}

func reload(x *trial, r *rand.Rand) (string, func()) {
	i := x.anyInstance(r)
	i.Signal(syscall.SIGHUP)
	return "SIGHUP to " + i.Name, func() {}
}

func cutStore(x *trial, r *rand.Rand) (string, func()) {
	i := x.anyInstance(r)
	f := anyFault(r)
	i.Store.Set(f)
	return fmt.Sprintf("fault %d between %s and the store", f, i.Name), func() { i.Store.Set(wire.Pass) }
}

func harmCallers(x *trial, r *rand.Rand) (string, func()) {
	i := x.anyInstance(r)
	i.Disturb()
	if r.IntN(2) == 0 {
		i.Callers.Reset()
		return "reset of the callers of " + i.Name, func() {}
	}
	f := anyFault(r)
	i.Callers.Set(f)
	return fmt.Sprintf("fault %d between callers and %s", f, i.Name), func() { i.Callers.Set(wire.Pass); i.Callers.Reset(); i.Disturb() }
}

func harmPeers(x *trial, r *rand.Rand) (string, func()) {
	i := x.anyInstance(r)
	f := anyFault(r)
	i.Peers.Set(f)
	return fmt.Sprintf("fault %d between the other instances and %s", f, i.Name), func() { i.Peers.Set(wire.Pass); i.Peers.Reset() }
}

func crashServer(x *trial, r *rand.Rand) (string, func()) {
	id := x.anyServer(r)
	x.platform.Crash(id)
	return "crash of " + id, func() { x.platform.Restart(id) }
}

func darkenServer(x *trial, r *rand.Rand) (string, func()) {
	id := x.anyServer(r)
	x.cluster.Silence(id)
	return id + " answers nothing", func() { x.platform.Restart(id) }
}

func harmServer(x *trial, r *rand.Rand) (string, func()) {
	id := x.anyServer(r)
	if r.IntN(3) == 0 {
		x.platform.Server(id).Reset()
		return "reset of the connections to " + id, func() {}
	}
	f := anyFault(r)
	x.platform.Server(id).Set(f)
	return fmt.Sprintf("fault %d before %s", f, id), func() { x.platform.Server(id).Set(wire.Pass); x.platform.Server(id).Reset() }
}

func delayReplica(x *trial, r *rand.Rand) (string, func()) {
	id := x.anyServer(r)
	x.cluster.Lag(id, time.Second)
	return id + " applies nothing", func() { x.cluster.Lag(id, 0) }
}

func loseAnswers(x *trial, r *rand.Rand) (string, func()) {
	id := x.anyServer(r)
	x.cluster.LoseAnswers(id, 1+r.IntN(4))
	return id + " loses answers", func() { x.cluster.LoseAnswers(id, 0) }
}

func harmStore(x *trial, r *rand.Rand) (string, func()) {
	f := wire.StoreFault(1 + r.IntN(int(wire.StoreForgets)))
	x.platform.SetStore(f)
	return fmt.Sprintf("store fault %d", f), func() { x.platform.SetStore(wire.StoreWorks) }
}

func changeConfiguration(x *trial, _ *rand.Rand) (string, func()) {
	x.mu.Lock()
	x.configure(true)
	x.mu.Unlock()
	return "new version of the configuration", func() {}
}

func anyFault(r *rand.Rand) wire.Fault {
	return []wire.Fault{wire.Delay, wire.Silence, wire.DropAsked, wire.DropReply, wire.Refuse}[r.IntN(5)]
}
