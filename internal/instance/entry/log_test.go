package entry_test

import (
	"io"
	"os"
)

// logWriter returns the destination of the instances' logs: the file that TANAGERCROSS_TEST_LOG names, or none.
func logWriter() io.Writer {
	path := os.Getenv("TANAGERCROSS_TEST_LOG")
	if path == "" {
		return io.Discard
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return io.Discard
	}
	return file
}
