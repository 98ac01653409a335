package configuration

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Change is one difference between two documents. Before or After is empty if the value is not set there.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff returns the differences between two documents in the order of their paths.
func Diff(before, after Document) []Change {
	var changes []Change
	add := func(path, a, b string) {
		if a != b {
			changes = append(changes, Change{Path: path, Before: a, After: b})
		}
	}
	diffOverride(add, "defaults.", before.Defaults, after.Defaults)
	for _, name := range organisations(before, after) {
		a, b := before.exception(name), after.exception(name)
		prefix := "exceptions[" + name + "]."
		diffOverride(add, prefix, a.Override, b.Override)
		add(prefix+"reason", a.Reason, b.Reason)
		add(prefix+"by", a.By, b.By)
		add(prefix+"until", timeText(a.Until), timeText(b.Until))
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return changes
}

func diffOverride(add func(path, a, b string), prefix string, before, after Override) {
	for _, f := range fields {
		add(prefix+f.Name, valueText(*f.of(&before)), valueText(*f.of(&after)))
	}
}

func organisations(documents ...Document) []string {
	var names []string
	for _, d := range documents {
		for _, e := range d.Exceptions {
			names = append(names, e.Organisation)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (d Document) exception(organisation string) Exception {
	for _, e := range d.Exceptions {
		if e.Organisation == organisation {
			return e
		}
	}
	return Exception{}
}

func valueText(v *int64) string {
	if v == nil {
		return ""
	}
	return strconv.FormatInt(*v, 10)
}

func timeText(t *time.Time) string {
	if t == nil {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}
