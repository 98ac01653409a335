package view

import (
	"slices"
	"time"

	"tanagercross/internal/fleet/evacuation"
	"tanagercross/internal/fleet/roster"
)

// OperatorRows is what the operator has written: the configuration row and the evacuations.
type OperatorRows struct {
	Configuration Rows
	Evacuations   evacuation.Reading
	Ignored       []IgnoredRow
}

// IgnoredRow is a row that names nothing.
type IgnoredRow struct {
	Key    string
	Reason error
}

// Regions returns the regions of the places.
func (t *Table) Regions() roster.Regions { return t.regions }

// Evacuation is what this instance knows about the time of an evacuation.
type Evacuation struct {
	Learnt    time.Duration // when this instance learnt of it
	Confirmed time.Duration // when it was last confirmed before that there was none; 0 if never
}

// SetEvacuations applies the evacuations of a read. The configuration of the same read is applied after them.
func (t *Table) SetEvacuations(now time.Duration, r evacuation.Reading) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setEvacuations(Evacuation{now, t.configurationRows.ReadAt}, t.evacuations.WithReading(r))
}

// mergeEvacuations applies the evacuations that another instance sent.
func (t *Table) mergeEvacuations(added Evacuation, rows []evacuation.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setEvacuations(added, t.evacuations.Merge(rows))
}

// setEvacuations replaces the evacuations. The caller holds the lock.
func (t *Table) setEvacuations(added Evacuation, after evacuation.Set) {
	before := t.evacuations
	t.evacuations = after
	if slices.Equal(before.Places(), after.Places()) {
		return
	}
	evacuated := map[string]Evacuation{}
	for _, place := range after.Places() {
		evacuated[place] = added
		if known, ok := t.evacuated[place]; ok {
			evacuated[place] = known
		}
	}
	t.evacuated = evacuated
	t.observer.EvacuationsChanged(before, after)
	t.notifyChange()
}

// Evacuated returns the evacuation of a place, or false if there is none.
func (t *Table) Evacuated(place string) (Evacuation, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.evacuated[place]
	return e, ok
}

// Evacuations returns the evacuated places in alphabetical order.
func (t *Table) Evacuations() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.evacuations.Places()
}
