// Package store defines what the fleet needs from the platform: a transactional table, an object store, the list of
// database groups and the lagging list of instances.
//
// # Usage
//
//	rows, err := s.Read(ctx, "document/configuration")
//	err = s.Commit(ctx, []store.Condition{{Key: "document/configuration", Version: 7}},
//		[]store.Write{{Key: "document/configuration", Value: data}})
//	if store.KindOf(err) == store.Conflict {
//		// another writer was first
//	}
//
// A Commit that fails with kind Unknown may have taken effect; the caller reads the rows to find out.
package store

import (
	"context"
	"errors"
	"fmt"

	"tanagercross/internal/database/driver"
)

// Row is one row of the table. Version counts the writes of the row; a row that is absent has version 0.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Condition requires a row's version at commit; version 0 requires that the row is absent.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// ListedInstance is an entry of the platform's lagging list of instances. It is a hint only.
type ListedInstance struct {
	Name    string
	Address string
	Place   string
	Leaving bool
}

// Group is a database group as the platform lists it.
type Group struct {
	Name    string
	Servers []driver.Server
}

// Store is the platform as the fleet sees it. All errors are *Error.
type Store interface {
	// Read returns the rows in the order of keys; an absent row has version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns the rows whose key starts with the prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all writes if all conditions hold, and nothing otherwise (kind Conflict).
	Commit(ctx context.Context, conditions []Condition, writes []Write) error
	// PutObject stores an object under a name, replacing an older one.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object; an absent one fails with kind Missing.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// ListObjects returns the names that start with the prefix, in order.
	ListObjects(ctx context.Context, prefix string) ([]string, error)
	// Groups lists the database groups.
	Groups(ctx context.Context) ([]Group, error)
	// Instances returns the platform's lagging list of instances.
	Instances(ctx context.Context) ([]ListedInstance, error)
}

// Kind classifies errors.
type Kind string

// Kinds of errors. Only Unknown leaves open whether a write took effect.
const (
	Unavailable Kind = "unavailable" // nothing was changed
	Conflict    Kind = "conflict"    // a condition did not hold; nothing was changed
	Missing     Kind = "missing"
	Invalid     Kind = "invalid"
	Unknown     Kind = "unknown" // the answer was lost
)

// Error is the error type of the package and of every adapter behind it.
type Error struct {
	Operation string
	Kind      Kind
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("store: %s: %s: %v", e.Operation, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of a store error, "" for nil, and Unknown for any other error.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Unknown
}
