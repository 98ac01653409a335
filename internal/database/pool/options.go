package pool

import (
	"time"

	"tanagercross/internal/organisation/fairness"
)

// Defaults of Options.
const (
	DefaultPing                   = time.Second
	DefaultPingTimeout            = 2 * time.Second
	DefaultLaneValidity           = 5 * time.Second // the server ends a silent control connection after 6 s
	DefaultIdleTimeout            = 30 * time.Second
	DefaultMinIdle                = 2
	DefaultMaintenanceInterval    = 250 * time.Millisecond
	DefaultResetTimeout           = time.Second
	DefaultAwait                  = 3 * time.Second
	DefaultReplyMargin            = 20 * time.Millisecond
	DefaultTransactionIdleTimeout = 10 * time.Second
	DefaultTransactionTimeout     = 60 * time.Second
	DefaultEndedTransactionTTL    = 2 * time.Minute
	transactionShareOfLane        = 2 // open transactions may take half of a lane's connections
	transactionShareOfTenant      = 2 // one organisation may have half of these
)

// Options sets intervals and limits. Zero fields take the defaults.
type Options struct {
	Fairness               fairness.Options
	Ping                   time.Duration // interval of pings on the control connection
	PingTimeout            time.Duration
	LaneValidity           time.Duration // a lane without a successful ping for this long gets no new work
	IdleTimeout            time.Duration // an unused connection beyond MinIdle is closed after this time
	MinIdle                int           // idle connections kept open per lane
	MaintenanceInterval    time.Duration // interval of checks of idle connections and transactions
	ResetTimeout           time.Duration
	Await                  time.Duration // longest wait for a majority
	ReplyMargin            time.Duration // time left of the deadline for the reply
	TransactionIdleTimeout time.Duration
	TransactionTimeout     time.Duration
	// TransactionLimits returns the limits in force for an organisation; nil means
	// TransactionIdleTimeout and TransactionTimeout.
	TransactionLimits   func(organisation string) (idle, total time.Duration)
	EndedTransactionTTL time.Duration // how long the end of a transaction is remembered
	// OnLaneLost is called in its own goroutine when a lane is lost, but not when it is released.
	OnLaneLost func(LaneID)
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
	set(&o.IdleTimeout, DefaultIdleTimeout)
	set(&o.MaintenanceInterval, DefaultMaintenanceInterval)
	set(&o.ResetTimeout, DefaultResetTimeout)
	set(&o.Await, DefaultAwait)
	set(&o.ReplyMargin, DefaultReplyMargin)
	set(&o.TransactionIdleTimeout, DefaultTransactionIdleTimeout)
	set(&o.TransactionTimeout, DefaultTransactionTimeout)
	set(&o.EndedTransactionTTL, DefaultEndedTransactionTTL)
	if o.MinIdle <= 0 {
		o.MinIdle = DefaultMinIdle
	}
	if o.TransactionLimits == nil {
		idle, total := o.TransactionIdleTimeout, o.TransactionTimeout
		o.TransactionLimits = func(string) (time.Duration, time.Duration) { return idle, total }
	}
	if o.OnLaneLost == nil {
		o.OnLaneLost = func(LaneID) {}
	}
	return o
}
