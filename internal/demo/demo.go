// Package demo implements orioledemo: a small fleet of entry processes and
// stand-ins in one process, and commands to try it with.
package demo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/oriolefront/oriolefront/internal/cli"
	"github.com/oriolefront/oriolefront/internal/logging"
	"github.com/oriolefront/oriolefront/internal/testbed"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = cli.ExitUsage
)

const usageText = `orioledemo runs a small fleet on loopback, for a first look.

usage: orioledemo [-entries N] [-engines N] [-v] [-once]

It starts stand-ins for the platform and the engines, entry processes and a
sample configuration in one process, prints commands to paste, and serves until
SIGINT (Ctrl-C) or SIGTERM, which start a graceful shutdown. It needs no files
and no network besides loopback; everything is gone when it ends.

exit codes: 0 shut down, 1 failed, 2 wrong usage

flags:
`

// flags are the parsed command-line flags.
type flags struct {
	entries, engines int
	verbose, once    bool
}

// Upper limits of -entries and -engines.
const (
	maxEntries = 9
	maxEngines = 30
)

// stopTimeout bounds the graceful shutdown of the demo.
const stopTimeout = 30 * time.Second

// Run runs the demo until ctx is cancelled and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	f, code, ended := parse(args, stdout, stderr)
	if ended {
		return code
	}
	if err := run(ctx, f, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "orioledemo:", err)
		return ExitFailed
	}
	return ExitOK
}

func parse(args []string, stdout, stderr io.Writer) (f flags, code int, ended bool) {
	set := flag.NewFlagSet("orioledemo", flag.ContinueOnError)
	set.IntVar(&f.entries, "entries", 3, "`number` of entry processes, 1 to 9")
	set.IntVar(&f.engines, "engines", 6, "`number` of engine stand-ins, 1 to 30")
	set.BoolVar(&f.verbose, "v", false, "log the entry processes to standard error")
	set.BoolVar(&f.once, "once", false, "send one streamed request, print its answer and exit")
	if code, ended := cli.Parse(set, usageText, args, stdout, stderr); ended {
		return f, code, true
	}
	problem := ""
	switch {
	case set.NArg() > 0:
		problem = fmt.Sprintf("unexpected argument %q", set.Arg(0))
	case f.entries < 1 || f.entries > maxEntries:
		problem = fmt.Sprintf("-entries: found %d, allowed: 1 to %d", f.entries, maxEntries)
	case f.engines < 1 || f.engines > maxEngines:
		problem = fmt.Sprintf("-engines: found %d, allowed: 1 to %d", f.engines, maxEngines)
	default:
		return f, 0, false
	}
	return f, cli.UsageError(set, stderr, problem), true
}

func run(ctx context.Context, f flags, stdout, stderr io.Writer) error {
	log := slog.New(slog.DiscardHandler)
	if f.verbose {
		var err error
		if log, err = logging.New(stderr, "info"); err != nil {
			return err
		}
	}
	began := time.Now()
	fleet, err := start(ctx, options(f, log))
	if err != nil {
		return fmt.Errorf("start the fleet: %w", err)
	}
	defer fleet.Close()
	fmt.Fprintf(stdout, "ready after %s: %d entry processes, %d engines, zones %v\n",
		time.Since(began).Round(time.Millisecond), len(fleet.Entries), len(fleet.Engines), fleet.Options.Zones)
	if f.once {
		if err := sendRequest(ctx, fleet.Entries[0].Settings.Listen.Callers, stdout); err != nil {
			return err
		}
		return stop(fleet, stdout)
	}
	printCommands(stdout, fleet)
	<-ctx.Done()
	return stop(fleet, stdout)
}

// start starts the fleet. Cancelling ctx aborts the start; afterwards ctx has no
// effect on the fleet, because the stand-ins must outlive the graceful shutdown.
func start(ctx context.Context, o testbed.Options) (*testbed.Fleet, error) {
	fleetCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	release := context.AfterFunc(ctx, cancel)
	defer release()
	fleet, err := testbed.Start(fleetCtx, o)
	if err != nil {
		cancel()
	}
	return fleet, err
}

// options returns the zones, services and wait rules of Bibliobuz at a size that
// starts within a few seconds.
func options(f flags, log *slog.Logger) testbed.Options {
	o := testbed.Bibliobuz()
	o.Entries, o.Engines, o.Log = f.entries, f.engines, log
	return o
}

// stop shuts the entry processes down gracefully, one after the other, as in a
// rolling replacement.
func stop(fleet *testbed.Fleet, stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for i, e := range fleet.Entries {
		if err := e.Stop(ctx); err != nil {
			return fmt.Errorf("entry process %d did not shut down gracefully: %w", i, err)
		}
	}
	fmt.Fprintln(stdout, "graceful shutdown complete")
	return nil
}
