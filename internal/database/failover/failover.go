// Package failover watches one group of servers and changes its primary.
//
// A Watcher is a state machine: the caller hands it events and carries out the actions it returns. It has no clock and
// does no I/O. Each group has about three watchers in different instances.
//
// # Why two watchers cannot harm each other
//
// The servers decide, not the watchers. A server promises a term to one holder only, and durably; every later fence
// needs a higher term. A holder is an instance name with its incarnation, so a restarted watcher is another holder.
//
//   - One primary per term: a promotion needs a majority fenced for (term, holder). Two majorities share a server, and
//     that server promised the term to one of the two holders. The holder itself asks for the promotion of at most one
//     server per term. If the answer is lost, it does not try another server in that term: it takes a new term.
//   - Nothing acknowledged is lost: an acknowledged entry is on a majority in its term. The promoted server is at least
//     as advanced as every member of some fenced majority, by statuses that the fences returned. A fenced server takes
//     no entries of lower terms, so an entry that this majority lacks can no longer be acknowledged in an older term.
//   - A pause between any two steps is harmless. If nobody took a higher term, the step is still right; otherwise the
//     servers refuse it, because they promised the higher term. A watcher that notices a pause drops its attempt and
//     its old observations, so that its own pause is not taken for the silence of a primary.
//   - Rank, back-off and quiet time only reduce the number of rival attempts. Safety does not depend on them.
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

// Times of a watcher. With them a killed primary is replaced about 1 s after its last answer.
const (
	ProbeInterval          = 200 * time.Millisecond
	SilenceTimeout         = 600 * time.Millisecond  // a primary without an answer for this long is suspect
	StallTimeout           = 1500 * time.Millisecond // a primary that did not replicate for this long is suspect
	EvidenceTTL            = 2 * time.Second         // how long evidence of a peer counts
	EvidenceReportInterval = 200 * time.Millisecond  // between two reports of the same evidence
	RankDelay              = 400 * time.Millisecond
	RankJitter             = 100 * time.Millisecond
	RetryBackOff           = 200 * time.Millisecond // least back-off after a failed attempt
	RetryJitter            = 400 * time.Millisecond
	RivalAttemptTimeout    = 600 * time.Millisecond // a newer promise of another watcher is given this long to come to an end
	OrphanedFenceTimeout   = 2 * time.Second        // a server left fenced for a term without primary for this long is taken back
	AttemptStepTimeout     = 700 * time.Millisecond // for each of the two steps of an attempt
	PreferredServerWait    = 300 * time.Millisecond // wait for fences that allow a primary other than the old one
	SuspicionTTL           = 5 * time.Second        // how long a doubted primary is the last choice
	PauseThreshold         = 500 * time.Millisecond // a longer time between two events means that the watcher was paused
	LeavingRetryInterval   = 5 * time.Second        // between two attempts to replace a leaving primary
	LeavingGracePeriod     = 2 * time.Second        // for the open transactions of a leaving primary, which gets no new ones
)

// Event is one of Tick, ProbeResult, PeerEvidence, PrimaryAnnounced, FenceResult, PromoteResult, MembershipChanged and
// Restarted.
type Event interface{ event() }

// Tick is the passing of time.
type Tick struct{}

// ProbeResult is the answer to a probe, or its failure.
type ProbeResult struct {
	Server      string
	Status      driver.Status
	Failed      bool
	RequestedAt time.Time // when the probe was sent
}

// PeerEvidence says that another watcher finds no working primary of a term.
type PeerEvidence struct {
	From string
	Term uint64
	Age  time.Duration
}

// PrimaryAnnounced says that a server is the primary of a term, as told by another instance or the store.
type PrimaryAnnounced struct {
	Term    uint64
	Primary string
}

// FenceResult is the answer to Fence. Status is what the server reported after it accepted the fence. If it refused,
// Kind is set, and Status may be empty.
type FenceResult struct {
	Server string
	Term   uint64
	Status driver.Status
	Kind   driver.Kind
}

// PromoteResult is the answer to Promote.
type PromoteResult struct {
	Server string
	Term   uint64
	Status driver.Status
	Kind   driver.Kind
}

// MembershipChanged gives a new list of the group's servers or a new rank of the watcher.
type MembershipChanged struct {
	Servers []driver.Server
	Rank    int
}

// Restarted says that the watcher starts anew as another holder, for example after its loop was stopped.
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

// Probe asks for a status of a server.
type Probe struct{ Server string }

// ReportEvidence asks to tell the other watchers that the primary of the term does not work.
type ReportEvidence struct{ Term uint64 }

// Fence asks a server to promise the term.
type Fence struct {
	Server string
	Term   uint64
	Holder string
}

// Promote asks a fenced server to become primary of the term.
type Promote struct {
	Server string
	Term   uint64
	Holder string
}

// AnnouncePrimary tells everyone the primary of a term.
type AnnouncePrimary struct {
	Term    uint64
	Primary string
}

func (Probe) action()           {}
func (ReportEvidence) action()  {}
func (Fence) action()           {}
func (Promote) action()         {}
func (AnnouncePrimary) action() {}
