package experiment

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/standin/network"
	"tanagercross/internal/tool/deployment"
)

const (
	// settle covers the start of leases, lanes and watches: voters abstain for 7 s, and candidates ask again meanwhile.
	settle     = 12 * time.Second
	kilobyte   = 1024.0
	megabyte   = 1 << 20
	percentage = 100.0
)

var fleetSizes = []int{3, 6, 12, 24}

// trafficKinds are the parts of the control traffic. Each byte is counted once, by the instance that dialled.
var trafficKinds = []struct {
	name   string
	accept func(d *deployment.Deployment, to string) bool
}{
	{"peers", func(d *deployment.Deployment, to string) bool { return d.IsInstance(to) }},
	{"platform", func(_ *deployment.Deployment, to string) bool { return deployment.IsPlatform(to) }},
	{"databases", func(d *deployment.Deployment, to string) bool { return !d.IsInstance(to) && !deployment.IsPlatform(to) }},
}

func controlCost(ctx context.Context, x *run) error {
	sizes := fleetSizes
	switch {
	case x.options.Instances > 0:
		sizes = []int{x.options.Instances}
	case x.options.Brief:
		sizes = sizes[:2]
	}
	x.condition("idle fleets of %v instances before %d group(s); processor time and memory include the stand-ins", sizes, x.options.Groups)
	c := &costs{result: x.result}
	for _, size := range sizes {
		if err := x.measureIdle(ctx, size, c); err != nil {
			return err
		}
	}
	x.result.Plot = Plot{Title: "Control cost of one instance of an idle fleet", XLabel: "instances", YLabel: "KB/s, % of a core, MB"}
	for _, k := range c.kinds {
		if len(k.points) > 1 {
			x.result.add(k.name+"_per_added_instance", slope(k.totals()), k.unit, nil)
		}
		if k.unit != "1/s" {
			x.result.Plot.Series = append(x.result.Plot.Series, Series{Name: k.name, Points: k.points, Line: true})
		}
	}
	return nil
}

// cost is a figure of one instance by the size of the fleet.
type cost struct {
	name, unit string
	points     []Point
}

// totals returns the figure of the whole fleet. Its slope leaves out what does not depend on the size of the fleet, such
// as the probes of the databases.
func (c cost) totals() []Point {
	totals := make([]Point, 0, len(c.points))
	for _, p := range c.points {
		totals = append(totals, Point{X: p.X, Y: p.X * p.Y})
	}
	return totals
}

type costs struct {
	result *Result
	kinds  []*cost
}

func (c *costs) note(name, unit string, size int, value float64) {
	i := slices.IndexFunc(c.kinds, func(k *cost) bool { return k.name == name })
	if i < 0 {
		i = len(c.kinds)
		c.kinds = append(c.kinds, &cost{name: name, unit: unit})
	}
	c.kinds[i].points = append(c.kinds[i].points, Point{X: float64(size), Y: value})
	c.result.add(fmt.Sprintf("%s_at_%d", name, size), value, unit, nil)
}

func (x *run) measureIdle(ctx context.Context, size int, c *costs) error {
	if err := x.start(ctx, x.profile().WithInstances(size)); err != nil {
		return err
	}
	pause(ctx, settle)
	d := x.deployment
	traffic := func() []network.Traffic {
		counted := make([]network.Traffic, 0, len(trafficKinds))
		for _, k := range trafficKinds {
			counted = append(counted, d.Network.TrafficOf(func(from, to string) bool { return d.IsInstance(from) && k.accept(d, to) }))
		}
		return counted
	}
	processor, err := processorTime()
	if err != nil {
		return err
	}
	from, before := time.Now(), traffic()
	pause(ctx, x.options.Duration)
	after, to := traffic(), time.Now()
	spent, err := processorTime()
	if err != nil {
		return err
	}
	each := seconds(from, to) * float64(size)
	c.note("processor", "% of a core", size, percentage*(spent-processor).Seconds()/each)
	for i, k := range trafficKinds {
		t := after[i].Sub(before[i])
		c.note(k.name+"_bytes", "KB/s", size, float64(t.Bytes)/kilobyte/each)
		c.note(k.name+"_messages", "1/s", size, float64(t.Chunks)/each)
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	c.note("heap", "MB", size, float64(memory.HeapAlloc)/megabyte/float64(size))
	x.say("%d instances: %.2f%% of a core each", size, percentage*(spent-processor).Seconds()/each)
	return ctx.Err()
}

// processorTime is the user and system time of this process.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, eris.Wrap(err, "getrusage")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
