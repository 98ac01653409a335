package deployment

import (
	"os/exec"
	"runtime"
	"sync"
)

// starts takes the starts of processes. With a death signal the kernel ends them with the thread that started them, so
// that a test that is killed or times out leaves none behind; that thread must therefore live as long as the test.
var starts = sync.OnceValue(func() chan func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range c {
			start()
		}
	}()
	return c
})

// StartProcess starts a command from a thread that lives as long as this process.
func StartProcess(command *exec.Cmd) error {
	started := make(chan error, 1)
	starts() <- func() { started <- command.Start() }
	return <-started
}
