package scenario

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/standin/database"
)

// commandCut: cut LINK up|down|both
//
// Drops what flows from the source to the destination (up) or back (down). LINK is "source>destination", where each
// side may have wildcards: "i*>meals-1-a" is every instance to one server.
func (f *fleet) commandCut(arguments []string) error {
	if err := expect(arguments, 2, 2, "cut LINK up|down|both"); err != nil {
		return err
	}
	cut := func(stream string) toxic { return toxic{kind: "timeout", stream: stream, attributes: `{"timeout": 0}`} }
	switch arguments[1] {
	case "up":
		return f.links.fault(arguments[0], cut("upstream"))
	case "down":
		return f.links.fault(arguments[0], cut("downstream"))
	case "both":
		return f.links.fault(arguments[0], cut("upstream"), cut("downstream"))
	}
	return eris.Errorf("direction %q", arguments[1])
}

// commandLatency: latency LINK MILLISECONDS
//
// Delays both directions.
func (f *fleet) commandLatency(arguments []string) error {
	if err := expect(arguments, 2, 2, "latency LINK MILLISECONDS"); err != nil {
		return err
	}
	attributes := `{"latency": ` + arguments[1] + `}`
	return f.links.fault(arguments[0], toxic{kind: "latency", stream: "upstream", attributes: attributes},
		toxic{kind: "latency", stream: "downstream", attributes: attributes})
}

// commandReset: reset LINK
//
// Closes the open connections of a link.
func (f *fleet) commandReset(arguments []string) error {
	if err := expect(arguments, 1, 1, "reset LINK"); err != nil {
		return err
	}
	f.links.reset(arguments[0])
	return nil
}

// commandHeal: heal [LINK]
//
// Ends the faults that were set under the same pattern, or all.
func (f *fleet) commandHeal(arguments []string) error {
	if len(arguments) == 0 {
		arguments = []string{"*"}
	}
	f.links.heal(arguments[0])
	return nil
}

// commandFault: fault NAME FAULT VALUE
//
// Faults of the platform: outage on|off, latency MILLISECONDS, lose_answers COUNT. Faults of a database: lag
// MILLISECONDS, drop_commit on|off.
func (f *fleet) commandFault(arguments []string) error {
	if err := expect(arguments, 3, 3, "fault NAME FAULT VALUE"); err != nil {
		return err
	}
	name, fault, value := arguments[0], arguments[1], arguments[2]
	number, _ := strconv.ParseInt(value, 10, 64)
	if name == platformName {
		switch fault {
		case "outage":
			f.platformFaults.Outage = value == "on"
		case "latency":
			f.platformFaults.LatencyMS = number
		case "lose_answers":
			f.platformFaults.LoseAnswers = int(number)
		default:
			return eris.Errorf("fault %q of the platform", fault)
		}
		return put(f.platform.control, "/faults", f.platformFaults)
	}
	faults, ok := f.databaseFaults[name]
	if !ok {
		return eris.Errorf("no database %q", name)
	}
	switch fault {
	case "lag":
		faults.LagMS = number
	case "drop_commit":
		faults.DropCommitAnswer = value == "on"
	default:
		return eris.Errorf("fault %q of a database", fault)
	}
	return put(f.databases[name].control, "/faults", faults)
}

// commandSpent: spent NAME
//
// Requires that the faults of NAME that strike a bounded number of times have all struck, so that a scenario cannot pass
// without its fault.
func (f *fleet) commandSpent(arguments []string) error {
	if err := expect(arguments, 1, 1, "spent NAME"); err != nil {
		return err
	}
	if arguments[0] == platformName {
		if err := get(f.platform.control, "/faults", &f.platformFaults); err != nil {
			return err
		}
		if n := f.platformFaults.LoseAnswers; n > 0 {
			return eris.Errorf("%d answers of the platform were not lost", n)
		}
		return nil
	}
	faults, ok := f.databaseFaults[arguments[0]]
	if !ok {
		return eris.Errorf("no database %q", arguments[0])
	}
	if err := get(f.databases[arguments[0]].control, "/faults", faults); err != nil {
		return err
	}
	if faults.DropCommitAnswer {
		return eris.New("no answer of a commit was dropped")
	}
	return nil
}

func get(address, path string, into any) error {
	w, err := http.Get("http://" + address + path)
	if err != nil {
		return eris.Wrap(err, "control port")
	}
	defer func() { _ = w.Body.Close() }()
	return eris.Wrap(json.NewDecoder(w.Body).Decode(into), "control port")
}

func put(address, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "request")
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "control port")
	}
	if w.StatusCode != http.StatusNoContent {
		err = eris.Errorf("control port: status %d", w.StatusCode)
	}
	_ = w.Body.Close()
	return err
}

// commandLeaving: leaving NAME true|false
//
// Sets the leaving mark of a database in the platform's list.
func (f *fleet) commandLeaving(arguments []string) error {
	if err := expect(arguments, 2, 2, "leaving NAME true|false"); err != nil {
		return err
	}
	query := url.Values{"server": arguments[:1], "leaving": arguments[1:]}
	return put(f.platform.control, "/leaving?"+query.Encode(), nil)
}

// statements returns the number of data statements that a database server has run.
func (f *fleet) statements(name string) (uint64, error) {
	s, ok := f.databases[name]
	if !ok {
		return 0, eris.Errorf("no database %q", name)
	}
	var c database.Counters
	err := get(s.control, "/counters", &c)
	return c.Statements, err
}

// commandWork: work NAME none|some [for=2s]
//
// Requires that a database server runs no statement, or at least one, in a time, by its own count.
func (f *fleet) commandWork(arguments []string) error {
	arguments, o := splitOptions(arguments)
	span := o.duration("for", 2*time.Second)
	if err := expect(arguments, 2, 2, "work NAME none|some [for=2s]"); err != nil {
		return err
	}
	if err := o.finish(); err != nil {
		return err
	}
	before, err := f.statements(arguments[0])
	if err != nil {
		return err
	}
	time.Sleep(span)
	after, err := f.statements(arguments[0])
	if err != nil {
		return err
	}
	f.logf("%s ran %d statements in %s", arguments[0], after-before, span)
	if (arguments[1] == "none") != (after == before) {
		return eris.Errorf("%s ran %d statements in %s, want %s", arguments[0], after-before, span, arguments[1])
	}
	return nil
}
