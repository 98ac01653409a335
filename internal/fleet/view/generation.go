package view

// The store may come back from an older copy of its rows and give versions out again. Versions here are those of the store
// below generationShift, and the generation of the store above it, which rises each time. So a version that is read after
// the return is higher than all that were read before.
const (
	generationShift = 40 // leaves 10^12 versions in a generation
	rowVersionMask  = 1<<generationShift - 1
)

// Version returns the version that stands for a version of the store in a generation.
func Version(generation, rowVersion uint64) uint64 {
	return generation<<generationShift | rowVersion&rowVersionMask
}

// Generation returns the generation of the store in which a version was given out.
func Generation(version uint64) uint64 { return version >> generationShift }

// RowVersion returns the version as the store knows it.
func RowVersion(version uint64) uint64 { return version & rowVersionMask }

// Generation returns the highest generation of the store that this instance has seen.
func (t *Table) Generation() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return Generation(max(t.configurationVersion(), t.serverRows.Version, t.memberRows.Version))
}
