// Command oriolefront is the entry process: it stands between callers and
// targets. Every entry VM runs the same one.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

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

func main() {
	os.Exit(run())
}

func run() int {
	file := flag.String("settings", "", "TOML `file` with the settings (required)")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), usageText)
		flag.PrintDefaults()
	}
	flag.Parse()
	if *file == "" || flag.NArg() > 0 {
		flag.Usage()
		return 2
	}
	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if *check {
		fmt.Println("settings are valid")
		return 0
	}
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
