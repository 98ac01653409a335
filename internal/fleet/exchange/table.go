package exchange

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of what one message carries. With 16 messages sent a second they keep the steady state inside 12 KB/s.
const (
	// rumourPeriod is how long an entry is sent after it changed here. Eight exchanges a second reach every member
	// many times in it.
	rumourPeriod   = 1500 * time.Millisecond
	entriesPerSend = 16
	// Tables of more than turnLimit entries are compared by buckets: sending the entries in turn would take longer than
	// the time between two changes somewhere in a large fleet, so that members would never agree.
	turnLimit        = 16 * entriesPerSend
	buckets          = 64
	positionsPerSend = 9
)

// entry is a row of a table with the moment of its last change here and its share of the digest.
type entry[T any] struct {
	value   T
	changed time.Time
	hash    uint64
}

// table keeps entries by name, their digest, and a cursor for sending them in turn.
type table[T any] struct {
	entries map[string]entry[T]
	names   []string // sorted; rebuilt when a name is added
	digest  uint64
	buckets [buckets]uint64 // digest of the entries of each bucket
	cursor  int
	recent  []string // names changed within rumourPeriod, oldest first
	changes uint64   // number of changes of entries
}

// set stores a value. The digest is the sum of the entries' hashes, so it does not depend on the order of changes.
func (t *table[T]) set(name string, value T, hash uint64, now time.Time) {
	if t.entries == nil {
		t.entries = map[string]entry[T]{}
	}
	old, known := t.entries[name]
	if !known {
		i, _ := slices.BinarySearch(t.names, name)
		t.names = slices.Insert(t.names, i, name)
	}
	e := entry[T]{value: value, changed: old.changed, hash: hash}
	t.digest += hash - old.hash
	t.buckets[bucket(name)] += hash - old.hash
	if hash != old.hash {
		t.changes++
		e.changed = now
		t.recent = slices.DeleteFunc(t.recent, func(n string) bool { return n == name })
		t.recent = append(t.recent, name)
	}
	t.entries[name] = e
}

func (t *table[T]) retain(keep func(name string) bool) {
	t.changes++
	for name, e := range t.entries {
		if !keep(name) {
			t.digest -= e.hash
			t.buckets[bucket(name)] -= e.hash
			delete(t.entries, name)
		}
	}
	t.names = slices.Sorted(maps.Keys(t.entries))
	t.recent = slices.DeleteFunc(t.recent, func(n string) bool { return !keep(n) })
}

// rumours returns the names of the newest changes.
func (t *table[T]) rumours(now time.Time) []string {
	for len(t.recent) > 0 && now.Sub(t.entries[t.recent[0]].changed) > rumourPeriod {
		t.recent = t.recent[1:]
	}
	return t.recent[max(0, len(t.recent)-entriesPerSend):]
}

// turn returns the next n names in turn.
func (t *table[T]) turn(n int) []string {
	n = min(n, len(t.names))
	names := make([]string, 0, n)
	for range n {
		t.cursor %= len(t.names)
		names = append(names, t.names[t.cursor])
		t.cursor++
	}
	return names
}

// missing returns what a peer with another digest may lack: recent changes, and otherwise the next entries in turn, or of
// a large table the entries of the bucket that the peer asks about.
func (t *table[T]) missing(peerDigest uint64, asked int, askedDigest uint64, now time.Time) []string {
	if peerDigest == t.digest {
		return nil
	}
	if names := t.rumours(now); len(names) > 0 {
		return names
	}
	if len(t.names) <= turnLimit {
		return t.turn(entriesPerSend)
	}
	if asked < 0 || asked >= buckets || askedDigest == t.buckets[asked] {
		return nil
	}
	var names []string
	for _, n := range t.names {
		if bucket(n) == asked {
			names = append(names, n)
		}
	}
	return names
}

func bucket(name string) int { return int(xxhash.Sum64String(name) % buckets) }

// hasher builds the hash of the parts of an entry that must be the same everywhere.
type hasher struct{ d xxhash.Digest }

func newHasher() *hasher {
	h := &hasher{}
	h.d.Reset()
	return h
}

func (h *hasher) text(s string) *hasher {
	h.number(uint64(len(s)))
	_, _ = h.d.WriteString(s)
	return h
}

func (h *hasher) number(n uint64) *hasher {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = h.d.Write(b[:])
	return h
}

func (h *hasher) sum() uint64 { return h.d.Sum64() }

func (m MemberState) hash() uint64 {
	return newHasher().text(m.Member).number(m.Incarnation).number(m.Sequence).sum()
}

// hash leaves positions out: they change all the time and are sent in turn.
func (g GroupState) hash() uint64 {
	return newHasher().text(g.Group).number(g.Term).text(g.Primary).sum()
}
