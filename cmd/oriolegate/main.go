// Command oriolegate is the entry process on the users' platform. It forwards
// requests from callers to targets. All entry VMs run the same program.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/oriolefront/oriolefront/internal/cli"
	"github.com/oriolefront/oriolefront/internal/logging"
	"github.com/oriolefront/oriolefront/internal/process"
	"github.com/oriolefront/oriolefront/internal/vmsettings"
	"github.com/oriolefront/oriolefront/platform"
)

const usageText = `oriolegate serves callers from one entry VM of the users' platform.

usage: oriolegate [-settings FILE] [-check]

It reads its settings (docs/platform.md), takes the configuration from the
platform's store and from other entry VMs, and serves until SIGTERM or SIGINT,
which start a graceful shutdown. SIGHUP reads the settings again.

exit codes: 0 shut down, 1 failed while running, 2 wrong usage or settings

`

// vmTable is the table of the store that the VMs use to discover each other.
const vmTable = "oriole-vms"

// dutiesTable is the table of the store that holds the lease of the duties.
const dutiesTable = "oriole-duties"

// Settings of the garbage collector: its soft memory limit is heapShare of the
// configured memory limit. Below it, gcPercent trades processor time for memory.
const (
	heapShare = 0.7
	gcPercent = 75
)

func main() {
	os.Exit(run())
}

func run() int {
	// A SIGHUP ends a process that does not handle it, so it is handled before the settings
	// are read.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	program := cli.Program[*vmsettings.Settings]{
		Name: "oriolegate", UsageText: usageText, SettingsHelp: "TOML `file` with the settings (default: named by the platform)", DefaultFile: os.Getenv(platform.SettingsPathVariable), Load: vmsettings.Load,
	}
	s, file, code, ended := program.ParseAndLoad(os.Args[1:], os.Stdout, os.Stderr)
	if ended {
		return code
	}
	return serve(s, file, hangups)
}

// serve runs the process until a signal ends it. It reads the settings again for each value
// of hangups.
func serve(s *vmsettings.Settings, file string, hangups <-chan os.Signal) int {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(s.Memory.LimitMB) * (1 << 20)))
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log, err := logging.New(out, s.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	var control process.Control
	if s.Duties != nil {
		control = platform.NewControl(s.Duties.Address, s.Duties.Rate)
	}
	p, err := process.New(process.Options{
		Settings: s, File: file, Log: log, Store: platform.NewStore(s.Store.Address),
		Tables:   process.Tables{Operator: platform.OperatorTable, Targets: platform.TargetsTable, VMs: vmTable, Duties: dutiesTable},
		Decoder:  platform.NewDecoder(s.Listen.Callers, s.Listen.Readiness, s.Listen.Links, s.Listen.Metrics, s.Store.Address),
		Protocol: platform.Protocol{}, Control: control, DroppedLogLines: out.Dropped,
	})
	if err != nil {
		log.Error("process failed to start", "error", err)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		for range hangups {
			p.Reload()
		}
	}()
	if err := p.Run(ctx); err != nil {
		log.Error("process failed", "error", err)
		return 1
	}
	return 0
}
