package roster

// Regions holds the region of each place. Traffic between regions is slow and paid for. A place that is not listed is a
// region of its own, so that the zero value has as many regions as places.
type Regions map[string]string

// Of returns the region of a place.
func (r Regions) Of(place string) string {
	if region, ok := r[place]; ok {
		return region
	}
	return place
}

// Same reports whether two places are in one region.
func (r Regions) Same(a, b string) bool { return r.Of(a) == r.Of(b) }
