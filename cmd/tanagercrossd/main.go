// Command tanagercrossd runs one instance of the proxy.
//
// # Usage
//
//	tanagercrossd --name i1 --place agreste --region agreste --platform-url http://127.0.0.1:7000 \
//		--fleet-secret-file fleet.secret --operator-secret-file operator.secret
//
//	tanagercrossd platform
//
// With the argument platform, the instance runs on the users' platform and takes its settings from the file that the
// platform writes.
//
// Every flag can be given as an environment variable, for example TANAGERCROSS_NAME. SIGTERM and SIGINT drain the
// instance. The exit code is 0 after a drain that cut no request, 1 after one that did, and 2 for faulty settings.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"tanagercross/internal/instance/daemon"
	"tanagercross/internal/instance/logging"
	"tanagercross/internal/instance/settings"
	"tanagercross/platform"
)

const (
	exitCut   = 1
	exitUsage = 2
)

func main() { os.Exit(run()) }

// platformCommand chooses the users' platform.
const platformCommand = "platform"

func run() int {
	if len(os.Args) == 2 && os.Args[1] == platformCommand {
		return runOnPlatform()
	}
	s, err := settings.Parse(os.Args[1:], os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: s.LogLevel}))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.Start(ctx, daemon.Options{Settings: s, Log: log})
	if err != nil {
		log.Error("instance did not start", "error", err.Error())
		return exitUsage
	}
	<-ctx.Done()
	if err := d.Stop(context.Background()); err != nil {
		log.Error("requests were cut", "error", err.Error())
		return exitCut
	}
	return 0
}

func runOnPlatform() int {
	sink := logging.NewSink(os.Stdout)
	defer sink.Close()
	log := slog.New(logging.NewHandler(sink, slog.LevelInfo))
	if err := platform.Serve(os.Getenv, log); err != nil {
		log.Error("instance did not run", "error", err.Error())
		return exitUsage
	}
	return 0
}
