// Package operator serves the operators' API of an instance and holds its client.
//
// # Usage
//
//	server := operator.NewServer(control, operator.Options{Secret: secret, Metrics: registry.Handler()})
//	go server.Serve(listener)
//
//	client := operator.NewClient("http://127.0.0.1:8082", secret)
//	change, err := client.Apply(ctx, operator.Proposal{BaseVersion: 7, Document: text, Author: "ana", Reason: "season"})
//	if operator.KindOf(err) == operator.Conflict {
//		// another operator was first; the error names the winner
//	}
//
// Routes, all with "Authorization: Bearer <operator secret>":
//
//	GET  /v1/configuration          POST /v1/configuration/check   POST /v1/configuration/apply
//	GET  /v1/configuration/history  POST /v1/keys/issue            POST /v1/keys/withdraw
//	GET  /v1/status                 GET  /metrics
//
// All errors are *Error, on both sides.
package operator

import (
	"context"
	"time"

	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/organisation/key"
)

// Configuration is the configuration in force with its author.
type Configuration struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
	Document string    `json:"document"` // YAML
}

// Proposal asks for a new configuration in place of BaseVersion. A repeated proposal with the same ChangeID is one
// change.
type Proposal struct {
	BaseVersion uint64 `json:"base_version"`
	Document    string `json:"document"` // YAML
	Author      string `json:"author"`
	Reason      string `json:"reason"`
	ChangeID    string `json:"change_id"`
}

// Change is the result of a change of the configuration or the keys. A change that is committed but not yet InForce
// takes effect without another call.
type Change struct {
	ChangeID  string `json:"change_id"`
	Version   uint64 `json:"version"`
	InForce   bool   `json:"in_force"`
	Confirmed int    `json:"confirmed"` // members known to have the version
	Members   int    `json:"members"`
}

// HistoryEntry is one past change of the configuration.
type HistoryEntry struct {
	Version  uint64                 `json:"version"`
	ChangeID string                 `json:"change_id"`
	Author   string                 `json:"author"`
	Reason   string                 `json:"reason"`
	At       time.Time              `json:"at"`
	Diff     []configuration.Change `json:"diff"`
}

// Issue asks for a new key of an organisation. The control sees only the hash.
type Issue struct {
	Hash         key.Hash
	Organisation string
	Author       string
	ChangeID     string
}

// Withdrawal asks for the end of a key.
type Withdrawal struct {
	Hash     key.Hash `json:"hash"`
	Author   string   `json:"author"`
	Reason   string   `json:"reason"`
	ChangeID string   `json:"change_id"`
}

// Status describes an instance and what it knows about the fleet.
type Status struct {
	Name                 string   `json:"name"`
	Place                string   `json:"place"`
	Region               string   `json:"region"`
	Fresh                bool     `json:"fresh"`
	Draining             bool     `json:"draining"`
	StoreAgeMS           int64    `json:"store_age_ms"`
	RosterVersion        uint64   `json:"roster_version"`
	ConfigurationVersion uint64   `json:"configuration_version"`
	KeysVersion          uint64   `json:"keys_version"`
	GroupsVersion        uint64   `json:"groups_version"`
	Members              []Member `json:"members"`
	Groups               []Group  `json:"groups"`
	Reads                []Reads  `json:"reads"`
}

// Reads counts the reads that an instance has answered since its start for one reason of the choice of server.
type Reads struct {
	Role   string  `json:"role"` // role of the server: primary or replica
	Reason string  `json:"reason"`
	Count  uint64  `json:"count"`
	Share  float64 `json:"share"` // of all reads, from 0 to 1
}

// Member is a member of the roster as the instance knows it. The versions are those of the last direct exchange with it,
// and 0 if there was none.
type Member struct {
	Name                 string `json:"name"`
	Place                string `json:"place"`
	Leaving              bool   `json:"leaving"`
	AgeMS                int64  `json:"age_ms"`
	RosterVersion        uint64 `json:"roster_version"`
	ConfigurationVersion uint64 `json:"configuration_version"`
	KeysVersion          uint64 `json:"keys_version"`
	GroupsVersion        uint64 `json:"groups_version"`
}

// Group is a database group as the instance knows it.
type Group struct {
	Name    string `json:"name"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
	Lanes   int    `json:"lanes"` // lanes that the instance holds
}

// Control is what the API needs from the instance. Errors are *Error; any other error counts as Unknown in a change and
// as Unavailable in a question.
type Control interface {
	Configuration(ctx context.Context) (Configuration, error)
	// Apply proposes a configuration that was checked.
	Apply(ctx context.Context, p Proposal) (Change, error)
	// History returns the newest changes first, at most limit.
	History(ctx context.Context, limit int) ([]HistoryEntry, error)
	IssueKey(ctx context.Context, i Issue) (Change, error)
	WithdrawKey(ctx context.Context, w Withdrawal) (Change, error)
	Status(ctx context.Context) (Status, error)
}
