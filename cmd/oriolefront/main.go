// Command oriolefront is the entry process, which forwards requests from callers
// to targets. All entry VMs run the same program.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/oriolefront/oriolefront/internal/cli"
	"github.com/oriolefront/oriolefront/internal/entry"
	"github.com/oriolefront/oriolefront/internal/logging"
	"github.com/oriolefront/oriolefront/internal/settings"
)

const usageText = `oriolefront serves callers from one entry VM.

usage: oriolefront -settings FILE [-check]

It reads its settings (docs/settings.md), takes the configuration from the
platform's table service and from other entry VMs, and serves until SIGTERM or
SIGINT, which start a graceful shutdown.

exit codes: 0 shut down, 1 failed while running, 2 wrong usage or settings

`

// heapShare of limits.memory-mb is the soft memory limit of the garbage collector.
const heapShare = 0.7

func main() {
	os.Exit(run())
}

func run() int {
	program := cli.Program[*settings.Settings]{
		Name: "oriolefront", UsageText: usageText, SettingsHelp: "TOML `file` with the settings (required)", Load: settings.Load,
	}
	s, _, code, ended := program.ParseAndLoad(os.Args[1:], os.Stdout, os.Stderr)
	if ended {
		return code
	}
	debug.SetMemoryLimit(int64(heapShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	log, err := logging.New(os.Stderr, s.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	process, err := entry.New(s, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := process.Run(ctx); err != nil {
		log.Error("process failed", "error", err)
		return 1
	}
	return 0
}
