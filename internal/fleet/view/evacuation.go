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
}

// Regions returns the regions of the places.
func (t *Table) Regions() roster.Regions { return t.regions }

// SetEvacuations applies the evacuations of a read.
func (t *Table) SetEvacuations(now time.Duration, r evacuation.Reading) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setEvacuations(now, t.evacuations.WithReading(r))
}

// setEvacuations replaces the evacuations. The caller holds the lock.
func (t *Table) setEvacuations(now time.Duration, after evacuation.Set) {
	before := t.evacuations
	t.evacuations = after
	if slices.Equal(before.Places(), after.Places()) {
		return
	}
	since := map[string]time.Duration{}
	for _, place := range after.Places() {
		since[place] = now
		if known, ok := t.evacuatedSince[place]; ok {
			since[place] = known
		}
	}
	t.evacuatedSince = since
	t.observer.EvacuationsChanged(before, after)
	t.notifyChange()
}

// Evacuated returns whether a place is evacuated, and the moment at which this instance learnt of it.
func (t *Table) Evacuated(place string) (since time.Duration, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	since, ok = t.evacuatedSince[place]
	return since, ok
}

// Evacuations returns the evacuated places in alphabetical order.
func (t *Table) Evacuations() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.evacuations.Places()
}
