package view_test

import (
	"slices"
	"testing"
	"time"

	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/evacuation"
	"tanagercross/internal/fleet/view"
)

// orderObserver records the order of changes.
type orderObserver struct {
	observer
	changes []string
}

func (o *orderObserver) ConfigurationChanged(_, _ catalog.Configuration, _ time.Duration) {
	o.changes = append(o.changes, "configuration")
}

func (o *orderObserver) EvacuationsChanged(_, _ evacuation.Set) {
	o.changes = append(o.changes, "evacuations")
}

// Guards against an instance that starts and sends statements to an evacuated server, because it takes the configuration of
// another instance before the evacuations.
func TestEvacuationsAreMergedBeforeTheConfiguration(t *testing.T) {
	o := &orderObserver{}
	b := view.NewTable(view.Presence{Name: "i1"}, nil, decoder{}, o)
	b.Merge(time.Second, view.State{
		ConfigurationVersion: 6, Configuration: rows(6, time.Second, "config=xx"),
		Evacuations: []evacuation.Row{{Place: "agreste", Version: 5}},
	})
	if want := []string{"evacuations", "configuration"}; !slices.Equal(o.changes, want) {
		t.Errorf("changes %v, want %v", o.changes, want)
	}
}
