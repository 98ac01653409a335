package wire

import (
	"fmt"
	"os"
	"testing"
	"time"

	"tanagercross/internal/standin/wire"
	"tanagercross/internal/tool/knownred"
)

const (
	configureWithin = 4 * time.Second // a configuration is in force everywhere
	storeSettled    = 2 * time.Second // after the store's return
	storeAway       = 300 * time.Millisecond
	sessionTimeout  = 2 * time.Second
	recoverWithin   = 12 * time.Second // after the loss of a primary
)

// refusal opens a session and returns the code with which it is refused, or "" if it is not.
func refusal(address, database, key string) (string, error) {
	s, code, err := wire.OpenSession(address, database, key, sessionTimeout)
	if err == nil {
		s.Close()
		return "", nil
	}
	if code != "" {
		return code, nil
	}
	return "", err
}

// Guards against instances that compare versions of the store across its return from an older copy: versions are given out
// again, and a configuration that is written then has a lower one than what the instances have read before. A withdrawn key
// goes on working and a new database stays unknown.
func TestConfigurationAfterTheStoreReturnsFromAnOlderCopy(t *testing.T) {
	knownred.Skip(t, *red)
	x := newTrial(t, *firstSeed, wire.AnswerFault{}, fields{})
	version := 3
	configure := func(databases []string, keys ...string) {
		t.Helper()
		version += 2
		if err := x.platform.Configure(x.document(version, databases, keys...)); err != nil {
			t.Fatal(err)
		}
	}
	configure(databases, "k-coop", "k-old")
	x.start()
	older := x.platform.CopyStore()
	for range 20 {
		configure(databases, "k-coop", "k-old")
		time.Sleep(50 * time.Millisecond)
	}
	x.platform.ReturnStore(older, storeAway)
	time.Sleep(storeSettled)
	configure(append([]string{"season"}, databases[1:]...), "k-coop")
	for deadline := time.Now().Add(configureWithin); ; time.Sleep(50 * time.Millisecond) {
		missing := ""
		for _, i := range x.instances {
			for _, want := range []struct{ database, key, code string }{{databases[1], "k-old", "NOAUTH"}, {"season", "k-coop", ""}, {databases[0], "k-coop", "NODATABASE"}} {
				got, err := refusal(i.Callers.Address(), want.database, want.key)
				if err != nil || got != want.code {
					missing = fmt.Sprintf("%s answers %s with key %s by code %q, %v; want %q", i.Name, want.database, want.key, got, err, want.code)
				}
			}
		}
		if missing == "" {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%v after a configuration: %s; logs in %s", configureWithin, missing, x.directory)
		}
	}
	_ = os.RemoveAll(x.directory)
}

// writes reports whether an instance acknowledges a write.
func writes(address, id string) bool {
	s, _, err := wire.OpenSession(address, databases[0], "k-coop", sessionTimeout)
	if err != nil {
		return false
	}
	defer s.Close()
	r, err := s.Query(id, "WRITE count "+id)
	return err == nil && r.Code == ""
}

// loseLeader crashes the primary and waits until each instance serves writes again.
func loseLeader(t *testing.T, x *trial, round string) {
	t.Helper()
	lost := x.cluster.Primary(group)
	x.platform.Crash(lost)
	started := time.Now()
	for _, i := range x.instances {
		for n := 0; !writes(i.Callers.Address(), fmt.Sprintf("%s-%s-%d", round, i.Name, n)); n++ {
			if time.Since(started) > recoverWithin {
				t.Fatalf("%s serves no write %v after the loss of %s, round %s; logs in %s", i.Name, recoverWithin, lost, round, x.directory)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	x.platform.Restart(lost)
	time.Sleep(storeSettled)
}

// Guards against fencing tokens that are given out again after the store returned from a copy that lacks the last claim of the
// promotion lease: orders would be refused, or two holders would use the same token.
func TestPromotionAfterTheStoreReturnsFromAnOlderCopy(t *testing.T) {
	knownred.Skip(t, *red)
	x := newTrial(t, *firstSeed, wire.AnswerFault{}, fields{})
	x.start()
	older := x.platform.CopyStore()
	loseLeader(t, x, "before")
	x.platform.ReturnStore(older, storeAway)
	time.Sleep(storeSettled)
	loseLeader(t, x, "after")
	for _, f := range x.cluster.Faults() {
		t.Errorf("%s; logs in %s", f, x.directory)
	}
	if !t.Failed() {
		_ = os.RemoveAll(x.directory)
	}
}
