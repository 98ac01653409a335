package fleet_test

import (
	"fmt"
	"os"
	"testing"

	"tanagercross/internal/tool/deployment"
)

func TestMain(m *testing.M) {
	release, err := deployment.Exclusive()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	release()
	os.Exit(code)
}
