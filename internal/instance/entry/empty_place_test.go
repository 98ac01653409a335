package entry_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// lockedBuffer is a buffer that several goroutines may write to.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

// Guards against an evacuation that the operator believes to hold although its row names a data centre without servers.
func TestEvacuationOfAPlaceWithoutServers(t *testing.T) {
	f := newFleet(t, "agreste")
	log := &lockedBuffer{}
	f.log = log
	f.start("i2", "sertao")
	f.awaitReady()
	f.cluster.Evacuate("litoral")
	f.cluster.Evacuate("litorall")
	f.learns("litorall", true, 0, 1)
	f.learns("litoral", true, 0, 1)
	const message = `"evacuated data centre has no server"`
	f.eventually("the warning", func() bool { return log.count(message) > 0 })
	time.Sleep(500 * time.Millisecond)
	if n, named := log.count(message), log.count(`"place":"litorall"`); n != 1 || named == 0 {
		t.Errorf("%d warnings, want one, for litorall", n)
	}
}
