package main

import (
	"context"
	"io"

	"github.com/rotisserie/eris"
)

// runDemo runs the demonstration with the arguments after "--". It is nil in builds without it.
var runDemo func(ctx context.Context, arguments []string, out io.Writer, json bool) error

func demonstrate(ctx context.Context, t *tool) error {
	if runDemo == nil {
		return eris.New("this build contains no demonstration")
	}
	return runDemo(ctx, t.options.arguments, t.out, t.options.json)
}
