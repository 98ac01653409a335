package pool

import (
	"time"

	"tanagercross/internal/organisation/fairness"
)

// Defaults of Options.
const (
	DefaultPing                    = time.Second
	DefaultPingTimeout             = 2 * time.Second
	DefaultLaneValidity            = 5 * time.Second // the server closes a silent control connection after 6 s
	DefaultIdleTimeout             = 30 * time.Second
	DefaultMinIdle                 = 2
	DefaultMaintenanceInterval     = 250 * time.Millisecond
	DefaultResetTimeout            = time.Second
	DefaultAwait                   = 3 * time.Second
	DefaultReplyMargin             = 20 * time.Millisecond
	DefaultTransactionIdleTimeout  = 10 * time.Second
	DefaultTransactionTimeout      = 60 * time.Second
	DefaultEndedTransactionTTL     = 2 * time.Minute
	laneTransactionDivisor         = 2 // open transactions may use at most half of a lane's connections
	organisationTransactionDivisor = 2 // one organisation may have at most half of a lane's transactions
)

// Options sets intervals and limits. Zero fields take the defaults.
type Options struct {
	Fairness               fairness.Options
	Ping                   time.Duration // interval of pings on the control connection
	PingTimeout            time.Duration // also limits opening a connection in advance
	LaneValidity           time.Duration // a lane without a successful ping for this long gets no new work
	IdleTimeout            time.Duration // idle connections in excess of MinIdle are closed after this time
	MinIdle                int           // idle connections that a lane keeps open
	MaintenanceInterval    time.Duration // interval of the checks of idle connections and expired transactions
	ResetTimeout           time.Duration // limit of the rollback and of the reset after an operation
	Await                  time.Duration // limit of the wait until a majority of the group holds a position
	ReplyMargin            time.Duration // part of the deadline that the wait for a majority leaves for sending the reply
	TransactionIdleTimeout time.Duration // limit of the pause between two statements of a transaction
	TransactionTimeout     time.Duration // limit of the duration of a transaction
	// TransactionLimits returns the limits in force for an organisation. If it is nil, TransactionIdleTimeout and
	// TransactionTimeout apply to all.
	TransactionLimits   func(organisation string) (idle, total time.Duration)
	EndedTransactionTTL time.Duration // how long the end of a transaction and the withdrawal of a key are remembered
	// OnLaneLost is called in its own goroutine after a lane was closed because a ping failed. It is not called for a
	// lane that is released.
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
