package database

import "time"

// Peer is another server of the group.
type Peer struct {
	Name    string
	Address string // replication address, host:port
}

// Config describes one server. Zero limits take the defaults below.
type Config struct {
	Name               string
	Address            string // for clients, host:port
	ReplicationAddress string // for the other servers of the group, host:port
	Peers              []Peer
	Directory          string // holds the log and the promise; must exist
	InitialPrimary     bool   // becomes primary of term 1 if the directory holds no promise
	Sync               bool   // flush the log to the disk with each entry

	ConnectionLimit int
	ConnectionDelay time.Duration // added to each new connection
	Slots           int           // statements run at the same time
	ServiceTime     time.Duration // added to each statement while it holds a slot
	LockTimeout     time.Duration // wait for another writer of the organisation
	Lag             time.Duration // delay between the arrival of an entry and its processing
}

const (
	defaultConnectionLimit = 100
	defaultSlots           = 2
	defaultLockTimeout     = time.Second

	heartbeatInterval = 100 * time.Millisecond
	dialTimeout       = 500 * time.Millisecond
	peerWriteTimeout  = time.Second
	redialInterval    = 50 * time.Millisecond
	stopTimeout       = 2 * time.Second
	batchSize         = 256      // entries per replication message
	inboxSize         = 4096     // replication messages that wait for the lag
	maximumMessage    = 16 << 20 // bytes of a client message
)

func (c Config) withDefaults() Config {
	if c.ConnectionLimit == 0 {
		c.ConnectionLimit = defaultConnectionLimit
	}
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.LockTimeout == 0 {
		c.LockTimeout = defaultLockTimeout
	}
	return c
}
