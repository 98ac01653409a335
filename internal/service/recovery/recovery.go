// Package recovery ends the work in which a panic happens, instead of the process with all its callers.
//
// # Usage
//
//	go func() {
//		defer recovery.Catch(func(p recovery.Panic) { log.Error("panic", "value", p.Value, "stack", p.Stack) })
//		work()
//	}()
package recovery

import (
	"fmt"
	"runtime/debug"
)

// maxStackBytes bounds the stack of a Panic, which is logged in one line.
const maxStackBytes = 4096

// Panic is a recovered panic.
type Panic struct {
	Value string
	Stack string
}

// Catch recovers a panic of the function that deferred it and passes it to handle. It must be deferred itself.
func Catch(handle func(Panic)) {
	p := recover()
	if p == nil {
		return
	}
	stack := debug.Stack()
	handle(Panic{Value: fmt.Sprint(p), Stack: string(stack[:min(len(stack), maxStackBytes)])})
}
