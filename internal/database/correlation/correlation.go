// Package correlation relates the answers on a server connection to the commands that wait for them.
//
// Answers carry no identifier of their command. What they carry is the signature of the server, which is different for each
// statement of a caller that ran, and none for the instance's own commands.
//
// # Usage
//
//	var t correlation.Tracker
//	if reason := t.Observe(command, answer); reason != correlation.Matched {
//		// the answer belongs to another command of the connection
//	}
//
// A Tracker does no I/O. Each connection has its own.
package correlation

import (
	"github.com/cespare/xxhash/v2"

	"tanagercross/internal/database/statement"
)

// Reason tells why an answer does not belong to the command that waits.
type Reason string

// Reasons.
const (
	Matched  Reason = ""
	Repeated Reason = "repeated" // its signature was seen on the connection before
	Unsigned Reason = "unsigned" // a success without a signature, for a statement of a caller
	Foreign  Reason = "foreign"  // a signature, for a command of the instance's own
)

// unsigned is the signature of answers to the instance's own commands.
const unsigned = "-"

// Tracker follows the answers of one connection. The zero value is ready for use.
type Tracker struct {
	signatures map[uint64]struct{} // hashes of the signatures seen
}

// Observe returns why an answer cannot belong to a command, and Matched if nothing speaks against it.
func (t *Tracker) Observe(c statement.Command, a statement.Answer) Reason {
	_, forwarded := c.(statement.Forward)
	signed := a.Code == "" && a.Signature != unsigned && a.Signature != ""
	switch {
	case a.Code != "":
		return Matched
	case forwarded && !signed:
		return Unsigned
	case !signed:
		return Matched
	}
	if t.signatures == nil {
		t.signatures = map[uint64]struct{}{}
	}
	hash := xxhash.Sum64String(a.Signature)
	if _, seen := t.signatures[hash]; seen {
		return Repeated
	}
	t.signatures[hash] = struct{}{}
	if !forwarded {
		return Foreign
	}
	return Matched
}
