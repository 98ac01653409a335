package dispatch_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/evacuation"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/request/dispatch"
)

// recorder records where statements are sent, and answers that the server is not reached.
type recorder struct {
	mu        sync.Mutex
	servers   []string
	instances []string
}

func (e *recorder) Execute(_ context.Context, m roster.Member, server string, _ statement.Call) statement.Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servers, e.instances = append(e.servers, server), append(e.instances, m.Name)
	return statement.Refused(statement.WrongServer, "not reached")
}

// start returns a dispatcher at an instance in litoral, with a group whose primary is in agreste.
func start() (*dispatch.Dispatcher, *view.Table, *recorder) {
	regions := roster.Regions{"agreste": "north", "sertao": "north", "litoral": "south", "mangue": "west"}
	t := view.NewTable(view.Presence{Name: "i1", Address: "i1", Place: "litoral"}, regions, decoder{}, newEvents())
	row := func(key, value string) view.Row { return view.Row{Key: key, Value: []byte(value), Version: 1} }
	t.SetMembers(view.Rows{Version: 1, ReadAt: time.Second, Rows: []view.Row{
		row("i2", "agreste"), row("i3", "sertao"), row("i4", "mangue"), row("i5", "mangue"),
	}})
	t.SetServers(time.Second, view.Rows{Version: 1, ReadAt: time.Second, Rows: []view.Row{
		row("a", "agreste "+string(driver.Primary)), row("b", "litoral "+string(driver.Replica)),
	}})
	e := &recorder{}
	return dispatch.New(t, e, dispatch.Options{Boot: func() time.Duration { return 2 * time.Second }, Observer: newEvents()}), t, e
}

// database returns a database of the group with home regions.
func database(c catalog.Consistency, homes ...string) catalog.Database {
	return catalog.Database{Name: "plates", Group: "meals", Consistency: c, Timeout: 200 * time.Millisecond, HomeRegions: homes}
}

// Guards against a statement that is relayed through an instance which is neither in a home region nor in the region of the
// caller's instance.
func TestRelaysAreAtHome(t *testing.T) {
	for _, c := range []struct {
		homes   []string
		foreign bool
	}{{nil, true}, {[]string{"north"}, false}} {
		d, _, e := start()
		d.Single(context.Background(), database(catalog.PrimaryOnly, c.homes...), statement.Call{Body: statement.Write{}})
		foreign := slices.Contains(e.instances, "i4") || slices.Contains(e.instances, "i5")
		if len(e.instances) == 0 || c.homes != nil && foreign {
			t.Errorf("homes %v: sent through %v", c.homes, e.instances)
		}
	}
}

// Guards against an instance that sends a statement to an evacuated server and leaves its refusal to the holder.
func TestNothingIsSentToAnEvacuatedServer(t *testing.T) {
	for place, servers := range map[string][]string{"agreste": {"b"}, "litoral": {"a"}} {
		d, table, e := start()
		table.SetEvacuations(2*time.Second, evacuation.Reading{Version: 2, Whole: true, Rows: []evacuation.Row{{Place: place, Version: 2}}})
		call := statement.Call{Body: statement.Read{}}
		d.Single(context.Background(), database(catalog.BoundedStaleness), call)
		d.Open(context.Background(), database(catalog.PrimaryOnly), call)
		answer := d.Single(context.Background(), database(catalog.PrimaryOnly), statement.Call{Body: statement.Write{}})
		if place == "agreste" && (answer.Code != statement.Busy || !strings.Contains(answer.Text, "evacuated")) {
			t.Errorf("write without a primary elsewhere: %+v", answer)
		}
		if len(e.servers) == 0 || slices.ContainsFunc(e.servers, func(s string) bool { return !slices.Contains(servers, s) }) {
			t.Errorf("%s is evacuated: sent to %v, want %v", place, e.servers, servers)
		}
	}
}
