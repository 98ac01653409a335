package wire

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	lineEnd     = "\r\n"
	maximumLine = 1 << 20 // bytes of a message
)

// Reader reads lines of the protocol. A line ends at CR LF only: a lone CR or LF is data, and nothing is trimmed.
type Reader struct{ in *bufio.Reader }

// NewReader returns a reader of a connection.
func NewReader(r io.Reader) Reader { return Reader{in: bufio.NewReader(r)} }

// Line returns the next line without its end.
func (r Reader) Line() (string, error) {
	var line []byte
	for {
		part, err := r.in.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err != nil && err != bufio.ErrBufferFull:
			return "", err
		case bytes.HasSuffix(line, []byte(lineEnd)):
			return string(line[:len(line)-len(lineEnd)]), nil
		case len(line) > maximumLine:
			return "", eris.Errorf("line of more than %d bytes", maximumLine)
		}
	}
}

// Fields splits a line at single blanks into at most n fields. The last one extends to the end of the line.
func Fields(line string, n int) []string { return strings.SplitN(line, " ", n) }
