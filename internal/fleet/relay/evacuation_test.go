package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"tanagercross/internal/fleet/evacuation"
	"tanagercross/internal/fleet/view"
)

// Guards against an evacuation that another instance reads differently, and against messages that grow without one.
func TestEvacuationsAreRelayed(t *testing.T) {
	rows := []evacuation.Row{{Place: "agreste", Generation: 2, Version: 7}, {Place: "sertao", Version: 9, Ended: true}}
	got := decodeState(encodeState(view.State{Evacuations: rows}, time.Second), time.Second)
	if diff := cmp.Diff(rows, got.Evacuations); diff != "" {
		t.Error(diff)
	}
	empty := encodeState(view.State{}, time.Second)
	size := proto.Size(empty)
	empty.ProtoReflect().Clear(empty.ProtoReflect().Descriptor().Fields().ByName("evacuations"))
	if proto.Size(empty) != size {
		t.Errorf("%d bytes without an evacuation, %d without the field", size, proto.Size(empty))
	}
}
