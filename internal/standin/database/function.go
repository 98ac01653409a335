package database

import (
	"strconv"
	"strings"
	"time"

	"tanagercross/internal/database/driver"
)

var statusColumns = []string{
	"server", "role", "term", "holder", "log_term", "log_index", "primary", "primary_contact_ms", "replicated_index",
}

func statusRow(s driver.Status) result {
	number := func(n uint64) string { return strconv.FormatUint(n, 10) }
	return row(statusColumns, s.Server, string(s.Role), number(s.Term), s.Holder, number(s.Last.Term),
		number(s.Last.Index), s.Primary, strconv.FormatInt(s.PrimaryContact.Milliseconds(), 10), number(s.ReplicatedIndex))
}

func (c *session) show(cmd command) (result, error) {
	name := strings.ToLower(strings.TrimSpace(cmd.text[len("show"):]))
	switch name {
	case "group_status":
		return statusRow(c.server.Status()), nil
	case "organisation":
		return row([]string{name}, c.organisation), nil
	case "idle_session_timeout":
		return row([]string{name}, strconv.FormatInt(c.idle.Milliseconds(), 10)), nil
	}
	return result{}, failure("show", codeUnsupported, "unknown parameter %q", name)
}

// values returns the arguments of a function call, from parameters, numbers and plain string literals.
func values(list string, arguments []*string) ([]string, error) {
	var out []string
	for _, item := range strings.Split(list, ",") {
		item = strings.TrimSpace(item)
		if !strings.HasPrefix(item, "?") {
			out = append(out, strings.Trim(item, "'"))
			continue
		}
		n, err := strconv.Atoi(item[1:])
		if err != nil || n < 1 || n > len(arguments) || arguments[n-1] == nil {
			return nil, failure("function", codeSyntax, "missing argument %q", item)
		}
		out = append(out, *arguments[n-1])
	}
	return out, nil
}

// function runs group_fence, group_promote, group_await and pg_try_advisory_lock.
func (c *session) function(cmd command, arguments []*string) (result, error) {
	m := functionPattern.FindStringSubmatch(cmd.text)
	name := strings.ToLower(m[1])
	list, err := values(m[2], arguments)
	if err != nil {
		return result{}, err
	}
	want := map[string]int{"group_fence": 2, "group_promote": 2, "group_await": 3, "pg_try_advisory_lock": 1}[name]
	if len(list) != want {
		return result{}, failure(name, codeSyntax, "%d arguments expected", want)
	}
	if name == "pg_try_advisory_lock" {
		return c.tryLock(list[0]), nil
	}
	term, err := strconv.ParseUint(list[0], 10, 64)
	if err != nil {
		return result{}, failure(name, codeSyntax, "invalid term %q", list[0])
	}
	if name == "group_await" {
		return c.await(term, list[1], list[2])
	}
	change := c.server.fence
	if name == "group_promote" {
		change = c.server.promote
	}
	status, err := change(term, list[1])
	return statusRow(status), err
}

func (c *session) await(term uint64, index, timeout string) (result, error) {
	i, err := strconv.ParseUint(index, 10, 64)
	if err != nil {
		return result{}, failure("group_await", codeSyntax, "invalid index %q", index)
	}
	ms, err := strconv.Atoi(timeout)
	if err != nil {
		return result{}, failure("group_await", codeSyntax, "invalid timeout %q", timeout)
	}
	held, err := c.server.await(term, i, time.Duration(ms)*time.Millisecond)
	return row([]string{"group_await"}, boolean(held)), err
}

// tryLock takes an advisory lock that ends with the session.
func (c *session) tryLock(key string) result {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, taken := s.locks[key]
	if !taken {
		s.locks[key] = c
	}
	return row([]string{"pg_try_advisory_lock"}, boolean(!taken || owner == c))
}

func boolean(b bool) string {
	if b {
		return "t"
	}
	return "f"
}
