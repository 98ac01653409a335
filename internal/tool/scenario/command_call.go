package scenario

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"tanagercross/internal/instance/operator"
	"tanagercross/internal/organisation/key"
)

const operatorTimeout = 50 * time.Second

// commandKey: key issue ORGANISATION | key withdraw ORGANISATION INSTANCE
//
// A withdrawal goes to an instance and is awaited by "key withdrawn ORGANISATION", since it may take long while members
// are cut off. The option since= of the command call counts from the moment of the request.
func (f *fleet) commandKey(arguments []string) error {
	if err := expect(arguments, 2, 3, "key issue|withdraw ORGANISATION [INSTANCE]"); err != nil {
		return err
	}
	name := f.runningInstances()[0]
	if len(arguments) == 3 {
		name = arguments[2]
	}
	client, err := f.operator(name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	organisation := arguments[1]
	if arguments[0] == "withdraw" {
		f.withdrawn[organisation] = time.Now()
		go func() {
			defer cancel()
			change, err := client.WithdrawKey(ctx, operator.Withdrawal{
				Hash: f.keys[organisation].Hash(), Author: "scenario", Reason: "lost phone", ChangeID: uuid.NewString(),
			})
			f.logf("withdrawal of the key of %s: %+v %v after %s", organisation, change, err,
				time.Since(f.withdrawn[organisation]).Round(time.Millisecond))
		}()
		return nil
	}
	defer cancel()
	issued, err := client.IssueKey(ctx, operator.IssueRequest{Organisation: organisation, Author: "scenario"})
	if err != nil {
		return err
	}
	f.keys[organisation], err = key.Parse(issued.Key)
	return err
}

// wanted is what a call must come to. Alternatives are separated by "|"; an empty text is not checked.
type wanted struct{ outcome, reason, value, servedBy, status string }

func (w wanted) check(r reply) error {
	for _, c := range []struct{ what, want, got string }{
		{"outcome", w.outcome, r.Outcome},
		{"reason", w.reason, r.Reason},
		{"value", w.value, r.value()},
		{"served_by", w.servedBy, r.ServedBy},
		{"status", w.status, strconv.Itoa(r.status)},
	} {
		if c.want != "" && !slices.Contains(strings.Split(c.want, "|"), c.got) {
			return eris.Errorf("%s %q, want %q (outcome %s, reason %s, %s)", c.what, c.got, c.want, r.Outcome, r.Reason, r.Message)
		}
	}
	return nil
}

// commandCall: call INSTANCE read|write|begin|step|commit|rollback|outcome [SQL] [OPTION...]
//
// Who calls: organisation= (the first with a key), key= a text in place of its key ("" for none), session= the name
// under which the token is remembered (the organisation), token= a text in place of the token. What: id= the name under
// which the request id is remembered, transaction= the name of the transaction, group=, primary=, max_age_ms=,
// deadline_ms=, padding= bytes. What must come of it: outcome= (done), reason=, value= the first cell, served_by=,
// status=. When: within= repeats the call until it is as wanted, since= counts this from the withdrawal of the key of an
// organisation, and hold= repeats it for a time in which it must always be as wanted.
func (f *fleet) commandCall(arguments []string) error {
	arguments, o := splitOptions(arguments)
	if err := expect(arguments, 2, 3, "call INSTANCE VERB [SQL] [OPTION...]"); err != nil {
		return err
	}
	c, err := f.newCall(arguments, o)
	if err != nil {
		return err
	}
	w := wanted{
		outcome: o.text("outcome", "done"), reason: o.text("reason", ""), value: o.text("value", ""),
		servedBy: o.text("served_by", ""), status: o.text("status", ""),
	}
	within, hold := o.duration("within", 0), o.duration("hold", 0)
	started := time.Now()
	if since, ok := o.has("since"); ok {
		started = f.withdrawn[since]
	}
	if err := o.finish(); err != nil {
		return err
	}
	for {
		sent := time.Now()
		err := f.send(c, w)
		switch {
		case err == nil && time.Since(started) >= hold:
			if within > 0 {
				f.logf("as wanted %s after the start", time.Since(started).Round(time.Millisecond))
			}
			return nil
		case err != nil && sent.Sub(started) >= within:
			return eris.Wrapf(err, "%s after the start", sent.Sub(started).Round(time.Millisecond))
		}
		time.Sleep(pollPeriod)
	}
}

// call is a request with the names under which its parts are remembered.
type call struct {
	request
	verb, session, id, transaction string
}

func (f *fleet) newCall(arguments []string, o *options) (call, error) {
	i, ok := f.instances[arguments[0]]
	if !ok {
		return call{}, eris.Errorf("no instance %q", arguments[0])
	}
	organisation := o.text("organisation", "sertao_coop")
	c := call{
		verb: arguments[1], session: o.text("session", organisation), id: o.text("id", ""),
		transaction: o.text("transaction", "transaction"),
	}
	group := o.text("group", groupName)
	c.method, c.url = http.MethodPost, "http://"+i.callers
	c.key = o.text("key", f.keys[organisation].Reveal())
	c.token = o.text("token", "")
	c.deadline = o.text("deadline_ms", "")
	c.bodyPaddingSize = o.number("padding", 0)
	groupPath := "/v1/groups/" + url.PathEscape(group)
	transactionPath := "/v1/transactions/" + url.PathEscape(f.transactions[c.transaction])
	switch c.verb {
	case "read", "write":
		c.url += groupPath + "/statements"
		c.body = &statement{Mode: c.verb}
	case "begin":
		c.url += groupPath + "/transactions"
	case "step":
		c.url += transactionPath + "/statements"
		c.body = &statement{}
	case "commit", "rollback":
		c.url += transactionPath + "/" + c.verb
	case "outcome":
		c.method = http.MethodGet
		c.url += groupPath + "/requests/" + f.ids[c.id]
		c.id = ""
	default:
		return c, eris.Errorf("verb %q", c.verb)
	}
	if c.body == nil {
		return c, nil
	}
	if len(arguments) < 3 {
		return c, eris.New("a statement is missing")
	}
	c.body.SQL = arguments[2]
	if value, ok := o.has("primary"); ok {
		primary := value == "true"
		c.body.Primary = &primary
	}
	if age := int64(o.number("max_age_ms", -1)); age >= 0 {
		c.body.MaxAgeMS = &age
	}
	return c, nil
}

// send sends a call once and remembers what its answer brings.
func (f *fleet) send(c call, w wanted) error {
	q := c.request
	q.id = newID()
	if c.id != "" {
		if known, ok := f.ids[c.id]; ok {
			q.id = known
		}
		f.ids[c.id] = q.id
	}
	if q.token == "" {
		q.token = f.sessions[c.session]
	}
	got, err := q.send()
	if err != nil {
		return err
	}
	if got.SessionToken != "" {
		f.sessions[c.session] = got.SessionToken
	}
	if c.verb == "begin" && got.Transaction != "" {
		f.transactions[c.transaction] = got.Transaction
	}
	return w.check(got)
}
