package cluster_test

import (
	"context"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/standin/cluster"
)

// Guards against a stand-in that fails, or that answers reads from rolled back commits, when a replica that lags is ahead
// of the server that is promoted.
func TestLaggingReplicaIsRolledBack(t *testing.T) {
	c := cluster.New(clock.Boot)
	c.AddGroup("meals", "agreste", "sertao", "litoral")
	conn := func(server string) statement.Conn {
		k, _, err := c.Dialer("test").Dial(context.Background(), statement.Target{Server: server, Organisation: "coop"})
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	deadline := time.Now().Add(5 * time.Second)
	if _, err := conn("meals-litoral").Report(deadline, statement.PauseReplication{Term: 9}); err != nil {
		t.Fatal(err)
	}
	primary, replica := conn("meals-agreste"), conn("meals-sertao")
	for _, id := range []string{"a/1", "a/2"} {
		if _, err := primary.Run(deadline, statement.Forward{ID: id, Body: statement.Write{Arguments: "plates " + id}}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := replica.Report(deadline, statement.Status{}); err != nil {
		t.Fatal(err)
	}
	c.Lag("meals-sertao", time.Hour)
	c.Crash("meals-agreste")
	if err := c.Promote(context.Background(), "i1", 1, "meals", "meals-litoral"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(2 * time.Second); c.Primary("meals") != "meals-litoral" && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	answers, err := replica.Run(deadline, statement.Forward{ID: "a/3", Body: statement.Read{Arguments: "plates"}})
	if err != nil || len(answers) != 1 || len(answers[0].Rows) != 1 || answers[0].Rows[0] != "" {
		t.Errorf("read %+v, %v; want nothing, because both commits were rolled back", answers, err)
	}
}
