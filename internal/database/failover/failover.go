// Package failover monitors one group of database servers, detects a failed or leaving primary and promotes another
// server.
//
// A Watcher is a state machine: the caller passes events to it and carries out the actions it returns. It has no clock
// and does no I/O. Each group has about three watchers in different instances.
//
// # Safety of concurrent watchers
//
// The servers arbitrate between watchers. A server durably promises a term to a single holder, and every later fence
// needs a higher term. A holder is an instance name with its incarnation, so a restarted watcher is another holder.
//
//   - One primary per term: a promotion needs a majority fenced for (term, holder). Two majorities share a server, and
//     that server promised the term to one of the two holders. The holder itself asks for the promotion of at most one
//     server per term. If the answer is lost, it does not try another server in that term: it takes a new term.
//   - No acknowledged write is lost: an acknowledged entry is on a majority in its term. The promoted server is at least
//     as advanced as every member of some fenced majority, by the statuses that the fences returned. A fenced server
//     accepts no entries of lower terms, so an entry that this majority lacks can no longer be acknowledged in an older
//     term.
//   - A pause between any two steps is safe. If no higher term was promised, the step is still valid; otherwise the
//     servers refuse it. A watcher that notices a pause discards its attempt and its old observations, so that it does
//     not mistake its own pause for the silence of a primary.
//   - Rank, back-off and RivalAttemptTimeout only reduce the number of rival attempts. Safety does not depend on them.
//
// # Usage
//
//	w := failover.New(failover.Settings{Holder: "i1/7", Rank: 0, Random: rand.Float64}, servers, now)
//	for event := range events { // a Tick at least every 100 ms
//		for _, action := range w.Handle(event, clock.Now()) {
//			// Probe, ReportEvidence, Fence, Promote, AnnouncePrimary
//		}
//	}
package failover

import (
	"time"

	"tanagercross/internal/database/driver"
)

// Timing of a watcher. With these values a killed primary is replaced about 1 s after its last answer.
const (
	ProbeInterval          = 200 * time.Millisecond
	SilenceTimeout         = 600 * time.Millisecond  // a primary without an answer for this long counts as failed
	StallTimeout           = 1500 * time.Millisecond // a primary that did not replicate for this long counts as failed
	EvidenceTTL            = 2 * time.Second         // how long evidence from another watcher counts
	EvidenceReportInterval = 200 * time.Millisecond  // least time between two reports of evidence
	RankDelay              = 400 * time.Millisecond
	RankJitter             = 100 * time.Millisecond
	RetryBackOff           = 200 * time.Millisecond // minimum back-off after a failed attempt, at rank 0
	RetryJitter            = 400 * time.Millisecond
	RivalAttemptTimeout    = 600 * time.Millisecond // minimum time for another watcher's attempt to finish
	OrphanedFenceTimeout   = 2 * time.Second        // a new attempt recovers a server fenced for a term that has no primary
	AttemptStepTimeout     = 700 * time.Millisecond // for each of the two steps of an attempt
	PreferredServerWait    = 300 * time.Millisecond // wait for fences that allow the choice of a preferred server
	SuspicionTTL           = 5 * time.Second        // how long a suspected primary is not a preferred server
	PauseThreshold         = 500 * time.Millisecond // a longer time between two events means that the watcher was paused
	LeavingRetryInterval   = 5 * time.Second        // between two attempts to replace leaving primaries
	LeavingGracePeriod     = 2 * time.Second        // lets open transactions of a leaving primary finish; it gets no new ones
)

// Event is one of Tick, ProbeResult, PeerEvidence, PrimaryAnnounced, FenceResult, PromoteResult, MembershipChanged and
// Restarted.
type Event interface{ event() }

// Tick lets the watcher send due probes and check its timeouts.
type Tick struct{}

// ProbeResult is the result of a Probe action. Status is unset if the probe failed.
type ProbeResult struct {
	Server      string
	Status      driver.Status
	Failed      bool
	RequestedAt time.Time // when the probe was sent
}

// PeerEvidence reports that another watcher finds no working primary in a term.
type PeerEvidence struct {
	From string
	Term uint64
	Age  time.Duration
}

// PrimaryAnnounced reports the primary of a term, as known to another instance or the store.
type PrimaryAnnounced struct {
	Term    uint64
	Primary string
}

// FenceResult is the result of a Fence action. Status is what the server reported after it accepted the fence. If the
// action failed, Kind is set and Status may be empty.
type FenceResult struct {
	Server string
	Term   uint64
	Status driver.Status
	Kind   driver.Kind
}

// PromoteResult is the result of a Promote action. If the action failed, Kind is set.
type PromoteResult struct {
	Server string
	Term   uint64
	Status driver.Status
	Kind   driver.Kind
}

// MembershipChanged carries the current list of the group's servers and the current rank of the watcher.
type MembershipChanged struct {
	Servers []driver.Server
	Rank    int
}

// Restarted makes the watcher start over as another holder, for example after its loop was stopped.
type Restarted struct{ Holder string }

func (Tick) event()              {}
func (ProbeResult) event()       {}
func (PeerEvidence) event()      {}
func (PrimaryAnnounced) event()  {}
func (FenceResult) event()       {}
func (PromoteResult) event()     {}
func (MembershipChanged) event() {}
func (Restarted) event()         {}

// Action is one of Probe, ReportEvidence, Fence, Promote and AnnouncePrimary.
type Action interface{ action() }

// Probe requests the status of a server.
type Probe struct{ Server string }

// ReportEvidence requests that the other watchers receive PeerEvidence: the primary of the term does not work.
type ReportEvidence struct{ Term uint64 }

// Fence requests that a server promises the term to the holder. It then accepts no entries of lower terms.
type Fence struct {
	Server string
	Term   uint64
	Holder string
}

// Promote requests that a fenced server becomes the primary of the term.
type Promote struct {
	Server string
	Term   uint64
	Holder string
}

// AnnouncePrimary requests that all instances are informed of the primary of a term.
type AnnouncePrimary struct {
	Term    uint64
	Primary string
}

func (Probe) action()           {}
func (ReportEvidence) action()  {}
func (Fence) action()           {}
func (Promote) action()         {}
func (AnnouncePrimary) action() {}
