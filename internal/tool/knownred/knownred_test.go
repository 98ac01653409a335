package knownred

import (
	"slices"
	"testing"
)

// Guards against tests that are passed over though no entry is about them: a name inside another name, or in the text of
// an entry.
func TestNamesAreFirstFields(t *testing.T) {
	text := "TestSoak/1010 | go test | seen with TestSoak/1011 | issue 1\nTestA of x | go test | fails | issue 2\nno entry\n"
	if got, want := names(text), []string{"TestSoak/1010", "TestA of x"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
