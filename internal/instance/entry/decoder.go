package entry

import (
	"github.com/rotisserie/eris"

	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/service/recovery"
)

// rowDecoder turns a panic in the decoding of a row into an error, so that the row is ignored like any other that cannot be
// decoded. Rows may come from other writers.
type rowDecoder struct {
	view.Decoder
	observer *observer
}

// catch returns the handler of a panic, which sets the error.
func (d rowDecoder) catch(err *error) func(recovery.Panic) {
	return func(p recovery.Panic) {
		d.observer.Panicked("decode row", p)
		*err = eris.New("panic: " + p.Value)
	}
}

// Configuration implements view.Decoder.
func (d rowDecoder) Configuration(value []byte) (c catalog.Configuration, err error) {
	defer recovery.Catch(d.catch(&err))
	return d.Decoder.Configuration(value)
}

// Server implements view.Decoder.
func (d rowDecoder) Server(id string, value []byte) (s catalog.Server, err error) {
	defer recovery.Catch(d.catch(&err))
	return d.Decoder.Server(id, value)
}

// Member implements view.Decoder.
func (d rowDecoder) Member(name string, value []byte) (m roster.Member, err error) {
	defer recovery.Catch(d.catch(&err))
	return d.Decoder.Member(name, value)
}
