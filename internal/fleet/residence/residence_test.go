package residence_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"tanagercross/internal/fleet/residence"
)

// Guards against a statement that runs outside of the home regions of its database or of its organisation, and against one
// that is refused although a region is in both lists. The lists are drawn from a seed.
func TestHomesAreIntersected(t *testing.T) {
	const seed = 5
	r := rand.New(rand.NewPCG(seed, seed))
	regions := []string{"north", "south", "west"}
	draw := func() []string {
		return slices.DeleteFunc(slices.Clone(regions), func(string) bool { return r.IntN(2) == 0 })
	}
	for range 500 {
		database, organisation := draw(), draw()
		h := residence.Of(database, organisation)
		permitted := 0
		for _, region := range regions {
			want := (len(database) == 0 || slices.Contains(database, region)) &&
				(len(organisation) == 0 || slices.Contains(organisation, region))
			if want {
				permitted++
			}
			if got := h.Permit(region); got != want {
				t.Errorf("seed %d: database %v, organisation %v: %s permitted %t, want %t", seed, database, organisation, region, got, want)
			}
			if !h.PermitRelay(region, region) || h.PermitRelay(region, "elsewhere") != want {
				t.Errorf("seed %d: database %v, organisation %v: relay through %s", seed, database, organisation, region)
			}
		}
		if h.Excluded() != (permitted == 0) {
			t.Errorf("seed %d: database %v, organisation %v: excluded %t, %d regions permitted", seed, database, organisation, h.Excluded(), permitted)
		}
		if h.Restricted() != (len(database)+len(organisation) > 0) {
			t.Errorf("seed %d: database %v, organisation %v: restricted %t", seed, database, organisation, h.Restricted())
		}
	}
}
