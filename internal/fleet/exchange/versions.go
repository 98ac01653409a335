package exchange

import "tanagercross/internal/fleet/document"

// VersionsOf returns the document versions that a member held when it last exchanged with this instance directly. It is
// false for a member that has not done so since this instance started.
func (s *State) VersionsOf(member string) ([]document.Version, bool) {
	if member == s.params.Self {
		return s.documents.Versions(), true
	}
	versions, ok := s.peerVersions[member]
	return versions, ok
}
