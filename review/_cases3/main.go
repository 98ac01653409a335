// Command cases runs the scripts of the third review: cases NAME DIRECTORY. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "want NAME DIRECTORY")
		os.Exit(2)
	}
	run, ok := map[string]func(dir string, trouble bool) (bool, error){"cut": cut, "young": young, "refill": refill}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	broken, err := run(os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
