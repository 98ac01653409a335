package pool

import (
	"time"

	"tanagercross/internal/organisation/fairness"
)

// Defaults of Options.
const (
	DefaultPing              = time.Second
	DefaultPingTimeout       = 2 * time.Second
	DefaultLaneValidity      = 5 * time.Second // the server ends a silent control connection after 6 s
	DefaultIdle              = 30 * time.Second
	DefaultReady             = 2
	DefaultUpkeep            = 250 * time.Millisecond
	DefaultResetTimeout      = time.Second
	DefaultAwait             = 3 * time.Second
	DefaultAwaitMargin       = 20 * time.Millisecond
	DefaultTransactionIdle   = 10 * time.Second
	DefaultTransactionTotal  = 60 * time.Second
	DefaultEndingsKept       = 2 * time.Minute
	transactionShareOfLane   = 2 // open transactions may take half of a lane's connections
	transactionShareOfTenant = 2 // one organisation may have half of these
)

// Options sets intervals and limits. Zero fields take the defaults.
type Options struct {
	Fairness         fairness.Options
	Ping             time.Duration // interval of pings on the control connection
	PingTimeout      time.Duration
	LaneValidity     time.Duration // a lane without a successful ping for this long gets no new work
	Idle             time.Duration // an unused connection beyond Ready is closed after this time
	Ready            int           // idle connections kept open per lane
	Upkeep           time.Duration // interval of checks of idle connections and transactions
	ResetTimeout     time.Duration
	Await            time.Duration // longest wait for a majority
	AwaitMargin      time.Duration // time left of the deadline for the reply
	TransactionIdle  time.Duration
	TransactionTotal time.Duration
	// TransactionLimits returns the limits in force for an organisation; nil means TransactionIdle and TransactionTotal.
	TransactionLimits func(organisation string) (idle, total time.Duration)
	EndingsKept       time.Duration // how long the end of a transaction is remembered
	// OnLost is called in its own goroutine when a lane is lost, but not when it is released.
	OnLost func(Holding)
}

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&o.Ping, DefaultPing)
	set(&o.PingTimeout, DefaultPingTimeout)
	set(&o.LaneValidity, DefaultLaneValidity)
	set(&o.Idle, DefaultIdle)
	set(&o.Upkeep, DefaultUpkeep)
	set(&o.ResetTimeout, DefaultResetTimeout)
	set(&o.Await, DefaultAwait)
	set(&o.AwaitMargin, DefaultAwaitMargin)
	set(&o.TransactionIdle, DefaultTransactionIdle)
	set(&o.TransactionTotal, DefaultTransactionTotal)
	set(&o.EndingsKept, DefaultEndingsKept)
	if o.Ready <= 0 {
		o.Ready = DefaultReady
	}
	if o.TransactionLimits == nil {
		idle, total := o.TransactionIdle, o.TransactionTotal
		o.TransactionLimits = func(string) (time.Duration, time.Duration) { return idle, total }
	}
	if o.OnLost == nil {
		o.OnLost = func(Holding) {}
	}
	return o
}
