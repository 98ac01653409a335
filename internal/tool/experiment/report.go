package experiment

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// WriteReport writes NAME.md, one row of a Markdown table, and NAME.svg into a directory, which it makes if absent. The
// command is shown in the row.
func WriteReport(directory, command string, r Result) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return eris.Wrap(err, "report directory")
	}
	for _, f := range []struct{ suffix, text string }{{".md", r.Row(command)}, {".svg", r.Plot.SVG()}} {
		if err := os.WriteFile(filepath.Join(directory, r.Name+f.suffix), []byte(f.text), 0o600); err != nil {
			return eris.Wrap(err, "report")
		}
	}
	return nil
}
