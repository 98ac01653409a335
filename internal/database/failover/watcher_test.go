package failover

import (
	"testing"
	"time"

	"tanagercross/internal/database/driver"
)

// scriptedWatcher passes scripted events to one watcher.
type scriptedWatcher struct {
	*Watcher
	now time.Time
}

// newScriptedWatcher returns a watcher of the servers a, b and c that knows a as the primary of term 1.
func newScriptedWatcher() *scriptedWatcher {
	now := time.Unix(1000, 0)
	list := []driver.Server{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	s := &scriptedWatcher{New(Settings{Holder: "w/1", Random: func() float64 { return 0 }}, list, now), now}
	s.answerProbes(driver.Primary, "a", "b", "c")
	return s
}

// answerProbes advances the clock by a probe interval and delivers statuses of term 1 from the servers. The first server
// has the given role, the others are replicas.
func (s *scriptedWatcher) answerProbes(first driver.Role, servers ...string) (out []Action) {
	s.now = s.now.Add(ProbeInterval)
	out = s.Handle(Tick{}, s.now)
	for i, name := range servers {
		status := driver.Status{Server: name, Role: driver.Replica, Term: 1, Last: driver.Position{Term: 1, Index: 5}, Primary: "a", ReplicatedIndex: 5}
		if i == 0 {
			status.Role = first
		}
		out = append(out, s.Handle(ProbeResult{Server: name, Status: status, RequestedAt: s.now}, s.now)...)
	}
	return out
}

// countActions returns the number of actions of one type.
func countActions[A Action](actions []Action) (n int) {
	for _, a := range actions {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}

// fenceSilentPrimary leaves the probes of the primary unanswered and delivers evidence of a peer until the watcher
// fences, and returns the term of the fence.
func (s *scriptedWatcher) fenceSilentPrimary(t *testing.T) uint64 {
	t.Helper()
	for range 6 {
		s.Handle(PeerEvidence{From: "v", Term: 1}, s.now)
		for _, a := range s.answerProbes(driver.Replica, "b", "c") {
			if f, ok := a.(Fence); ok {
				return f.Term
			}
		}
	}
	t.Fatal("no fence")
	return 0
}

// fenceResult delivers the status of a server that accepted the fence, with its last log entry at index of term 1.
func (s *scriptedWatcher) fenceResult(server string, term, index uint64) []Action {
	return s.Handle(FenceResult{Server: server, Term: term, Status: driver.Status{
		Server: server, Role: driver.Fenced, Term: term, Holder: s.settings.Holder, Last: driver.Position{Term: 1, Index: index},
	}}, s.now)
}

// Guards against a watcher that mistakes a pause of its own for the silence of the primary when evidence from before
// the pause seems to confirm it.
func TestPauseIsNoSilence(t *testing.T) {
	s := newScriptedWatcher()
	s.Handle(PeerEvidence{From: "v", Term: 1}, s.now)
	s.now = s.now.Add(1500 * time.Millisecond)
	got := append(s.Handle(Tick{}, s.now), s.answerProbes(driver.Replica, "b", "c")...)
	if countActions[Fence](got) > 0 || countActions[ReportEvidence](got) > 0 {
		t.Errorf("actions after a pause: %v", got)
	}
}

// Guards against a promotion by fences of another term, another holder or a minority, of a less advanced server, or of
// a second server in the same term after a lost answer.
func TestPromotesOnceAndTheMostAdvanced(t *testing.T) {
	s := newScriptedWatcher()
	term := s.fenceSilentPrimary(t)
	if got := s.fenceResult("b", term-1, 9); countActions[Promote](got) > 0 {
		t.Errorf("fence of another term: %v", got)
	}
	otherHolder := driver.Status{Server: "c", Role: driver.Fenced, Term: term, Holder: "w/0", Last: driver.Position{Term: 1, Index: 9}}
	s.fenceResult("b", term, 5)
	if got := s.Handle(FenceResult{Server: "c", Term: term, Status: otherHolder}, s.now); countActions[Promote](got) > 0 {
		t.Errorf("fence of another holder: %v", got)
	}
	got := s.fenceResult("c", term, 7)
	if countActions[Promote](got) != 1 || got[len(got)-1] != (Promote{"c", term, "w/1"}) {
		t.Fatalf("after a majority: %v", got)
	}
	if got := s.fenceResult("a", term, 8); countActions[Promote](got) > 0 {
		t.Errorf("a second promotion: %v", got)
	}
	s.Handle(PromoteResult{Server: "c", Term: term, Kind: driver.ResponseLost}, s.now)
	for range 10 {
		for _, a := range s.answerProbes(driver.Replica, "b", "c") {
			if f, ok := a.(Fence); ok && f.Term <= term {
				t.Errorf("term %d used again: %v", term, f)
			}
		}
	}
	late := driver.Status{Server: "c", Role: driver.Primary, Term: term}
	if got := s.Handle(PromoteResult{Server: "c", Term: term, Status: late}, s.now); countActions[AnnouncePrimary](got) != 1 {
		t.Errorf("a late success is not announced: %v", got)
	}
}

// Guards against an attempt that continues after a newer term appeared, after a pause or as another holder.
func TestAttemptEnds(t *testing.T) {
	for name, end := range map[string]func(*scriptedWatcher){
		"newer promise": func(s *scriptedWatcher) {
			s.Handle(ProbeResult{Server: "c", Status: driver.Status{Server: "c", Role: driver.Fenced, Term: 9}, RequestedAt: s.now}, s.now)
		},
		"newer primary": func(s *scriptedWatcher) { s.Handle(PrimaryAnnounced{Term: 9, Primary: "c"}, s.now) },
		"refused":       func(s *scriptedWatcher) { s.Handle(FenceResult{Server: "c", Term: 2, Kind: driver.StaleTerm}, s.now) },
		"restart":       func(s *scriptedWatcher) { s.Handle(Restarted{Holder: "w/2"}, s.now) },
		"pause":         func(s *scriptedWatcher) { s.now = s.now.Add(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedWatcher()
			term := s.fenceSilentPrimary(t)
			end(s)
			if got := append(s.fenceResult("b", term, 5), s.fenceResult("c", term, 5)...); countActions[Promote](got) > 0 {
				t.Errorf("the attempt continued: %v", got)
			}
		})
	}
}

// Guards against a leaving primary that is replaced before its open transactions could finish, or never.
func TestLeavingPrimaryHasGrace(t *testing.T) {
	s := newScriptedWatcher()
	s.Handle(MembershipChanged{Servers: []driver.Server{{Name: "a", Leaving: true}, {Name: "b"}, {Name: "c"}}}, s.now)
	for marked := s.now; s.now.Sub(marked) < LeavingGracePeriod-ProbeInterval; {
		if got := s.answerProbes(driver.Primary, "a", "b", "c"); countActions[Fence](got) > 0 {
			t.Fatalf("fenced after %s", s.now.Sub(marked))
		}
	}
	if got := append(s.answerProbes(driver.Primary, "a", "b", "c"), s.answerProbes(driver.Primary, "a", "b", "c")...); countActions[Fence](got) == 0 {
		t.Error("not fenced after the grace period")
	}
}
