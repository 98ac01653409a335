package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"tanagercross/internal/tool/demo"
	"tanagercross/internal/tool/deployment"
)

// Sizes of the demonstration.
const (
	demoInstances = 3
	demoGroups    = 1
)

// demonstrate runs the demonstration. Its last line on standard output is the report as one JSON object; with --json,
// progress goes to standard error.
func demonstrate(ctx context.Context, t *tool) error {
	progress := t.out
	if t.options.json {
		progress = io.Writer(os.Stderr)
	}
	profile := deployment.Mutirao().WithInstances(demoInstances).WithGroups(demoGroups)
	report, err := demo.Run(ctx, demo.Options{Profile: profile}, progress)
	if err != nil {
		return err
	}
	data, err := json.Marshal(report)
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	fmt.Fprintln(t.out, string(data))
	if n := report.Faults(); n > 0 {
		return eris.Errorf("%d violations of correctness", n)
	}
	return nil
}
