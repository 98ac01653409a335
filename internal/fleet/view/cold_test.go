package view_test

import (
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/view"
)

// coldDecoder decodes servers that are cold for the given time when their row was written.
type coldDecoder struct {
	decoder
	coldFor   time.Duration
	startedMS int64
}

func (d *coldDecoder) Server(id string, _ []byte) (catalog.Server, error) {
	return catalog.Server{ID: id, Group: "meals", Role: driver.Primary, ColdFor: d.coldFor, StartedMS: d.startedMS}, nil
}

// Guards against a server that stays cold for ever because its row is read again and again, and against one that is not
// cold after another start.
func TestColdServers(t *testing.T) {
	d := &coldDecoder{coldFor: 5 * time.Second, startedMS: 1}
	b := view.NewTable(view.Presence{Name: "i1"}, nil, d, &observer{})
	for at := 10 * time.Second; at < 20*time.Second; at += 2 * time.Second {
		b.SetServers(at, rows(uint64(at), at, "a="))
		if got, want := b.Cold(at, "a"), at < 15*time.Second; got != want {
			t.Errorf("at %v: cold %t, want %t", at, got, want)
		}
	}
	d.startedMS = 2
	b.SetServers(20*time.Second, rows(uint64(20*time.Second), 20*time.Second, "a="))
	if !b.Cold(20*time.Second, "a") || b.Cold(25*time.Second, "a") {
		t.Error("not cold for 5 s after another start")
	}
}
