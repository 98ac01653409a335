package failover

import (
	"testing"
	"time"

	"tanagercross/internal/database/driver"
)

// script drives one watcher by hand.
type script struct {
	*Watcher
	now time.Time
}

func newScript() *script {
	now := time.Unix(1000, 0)
	list := []driver.Server{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	s := &script{New(Settings{Holder: "w/1", Random: func() float64 { return 0 }}, list, now), now}
	s.answer(driver.Primary, "a", "b", "c")
	return s
}

// answer advances by a probe period and delivers statuses of term 1 from the servers; the first has the given role.
func (s *script) answer(first driver.Role, servers ...string) (out []Action) {
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

func count[A Action](actions []Action) (n int) {
	for _, a := range actions {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}

// silence lets the primary be silent until the watcher fences, with evidence of a peer.
func (s *script) silence(t *testing.T) uint64 {
	t.Helper()
	for range 6 {
		s.Handle(PeerEvidence{From: "v", Term: 1}, s.now)
		for _, a := range s.answer(driver.Replica, "b", "c") {
			if f, ok := a.(Fence); ok {
				return f.Term
			}
		}
	}
	t.Fatal("no fence")
	return 0
}

func (s *script) fenceResult(server string, term, index uint64) []Action {
	return s.Handle(FenceResult{Server: server, Term: term, Status: driver.Status{
		Server: server, Role: driver.Fenced, Term: term, Holder: s.settings.Holder, Last: driver.Position{Term: 1, Index: index},
	}}, s.now)
}

// Guards against a watcher that takes a pause of its own for the silence of the primary, with evidence that is as old.
func TestPauseIsNoSilence(t *testing.T) {
	s := newScript()
	s.Handle(PeerEvidence{From: "v", Term: 1}, s.now)
	s.now = s.now.Add(1500 * time.Millisecond)
	got := append(s.Handle(Tick{}, s.now), s.answer(driver.Replica, "b", "c")...)
	if count[Fence](got) > 0 || count[ReportEvidence](got) > 0 {
		t.Errorf("actions after a pause: %v", got)
	}
}

// Guards against a promotion by fences of another term, another holder or a minority, of a less advanced server, or of
// a second server in the same term after a lost answer.
func TestPromotesOnceAndTheMostAdvanced(t *testing.T) {
	s := newScript()
	term := s.silence(t)
	if got := s.fenceResult("b", term-1, 9); count[Promote](got) > 0 {
		t.Errorf("fence of another term: %v", got)
	}
	foreign := driver.Status{Server: "c", Role: driver.Fenced, Term: term, Holder: "w/0", Last: driver.Position{Term: 1, Index: 9}}
	s.fenceResult("b", term, 5)
	if got := s.Handle(FenceResult{Server: "c", Term: term, Status: foreign}, s.now); count[Promote](got) > 0 {
		t.Errorf("fence of another holder: %v", got)
	}
	got := s.fenceResult("c", term, 7)
	if count[Promote](got) != 1 || got[len(got)-1] != (Promote{"c", term, "w/1"}) {
		t.Fatalf("after a majority: %v", got)
	}
	if got := s.fenceResult("a", term, 8); count[Promote](got) > 0 {
		t.Errorf("a second promotion: %v", got)
	}
	s.Handle(PromoteResult{Server: "c", Term: term, Kind: driver.ResponseLost}, s.now)
	for range 10 {
		for _, a := range s.answer(driver.Replica, "b", "c") {
			if f, ok := a.(Fence); ok && f.Term <= term {
				t.Errorf("term %d used again: %v", term, f)
			}
		}
	}
	late := driver.Status{Server: "c", Role: driver.Primary, Term: term}
	if got := s.Handle(PromoteResult{Server: "c", Term: term, Status: late}, s.now); count[AnnouncePrimary](got) != 1 {
		t.Errorf("a late success is not announced: %v", got)
	}
}

// Guards against an attempt that goes on after a newer term appeared, after a pause or as another holder.
func TestAttemptEnds(t *testing.T) {
	for name, end := range map[string]func(*script){
		"newer promise": func(s *script) {
			s.Handle(ProbeResult{Server: "c", Status: driver.Status{Server: "c", Role: driver.Fenced, Term: 9}, RequestedAt: s.now}, s.now)
		},
		"newer primary": func(s *script) { s.Handle(PrimaryAnnounced{Term: 9, Primary: "c"}, s.now) },
		"refused":       func(s *script) { s.Handle(FenceResult{Server: "c", Term: 2, Kind: driver.StaleTerm}, s.now) },
		"restart":       func(s *script) { s.Handle(Restarted{Holder: "w/2"}, s.now) },
		"pause":         func(s *script) { s.now = s.now.Add(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript()
			term := s.silence(t)
			end(s)
			if got := append(s.fenceResult("b", term, 5), s.fenceResult("c", term, 5)...); count[Promote](got) > 0 {
				t.Errorf("the attempt went on: %v", got)
			}
		})
	}
}

// Guards against a leaving primary that is replaced before its open transactions could finish, or that is kept.
func TestLeavingPrimaryHasGrace(t *testing.T) {
	s := newScript()
	s.Handle(MembershipChanged{Servers: []driver.Server{{Name: "a", Leaving: true}, {Name: "b"}, {Name: "c"}}}, s.now)
	for marked := s.now; s.now.Sub(marked) < LeavingGracePeriod-ProbeInterval; {
		if got := s.answer(driver.Primary, "a", "b", "c"); count[Fence](got) > 0 {
			t.Fatalf("fenced after %s", s.now.Sub(marked))
		}
	}
	if got := append(s.answer(driver.Primary, "a", "b", "c"), s.answer(driver.Primary, "a", "b", "c")...); count[Fence](got) == 0 {
		t.Error("not fenced after the grace")
	}
}
