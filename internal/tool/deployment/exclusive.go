package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Exclusive waits until no other test package of this source tree runs a whole deployment, and keeps the others out until
// release is called or the process ends. Deployments that compete for the processors miss their deadlines.
//
//	func TestMain(m *testing.M) {
//		release, err := deployment.Exclusive()
//		...
//		code := m.Run()
//		release()
//		os.Exit(code)
//	}
func Exclusive() (release func(), err error) {
	root, err := sourceTree()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("tanagercross-%x.lock", xxhash.Sum64String(root))
	file, err := os.OpenFile(filepath.Join(os.TempDir(), name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "lock file")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		_ = file.Close()
		return nil, eris.Wrap(err, "lock "+name)
	}
	return func() { _ = file.Close() }, nil
}

// sourceTree returns the directory of go.mod above the working directory.
func sourceTree() (string, error) {
	directory, err := os.Getwd()
	if err != nil {
		return "", eris.Wrap(err, "working directory")
	}
	for {
		if _, err := os.Stat(filepath.Join(directory, "go.mod")); err == nil {
			return directory, nil
		}
		parent := filepath.Dir(directory)
		if parent == directory {
			return "", eris.New("no go.mod above the working directory")
		}
		directory = parent
	}
}
