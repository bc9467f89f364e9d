// Package demo is the logic of orioledemo: a small fleet of entry processes
// with stand-ins in one process, and commands to try it with.
package demo

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/oriolefront/oriolefront/internal/lab"
	"github.com/oriolefront/oriolefront/internal/logging"
)

// The exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
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

// flags are the command line.
type flags struct {
	entries, engines int
	verbose, once    bool
}

// The most processes and engines that one run starts.
const (
	maxEntries = 9
	maxEngines = 30
)

// stopTimeout bounds the graceful shutdown of the demo.
const stopTimeout = 30 * time.Second

// Run runs the demo until ctx ends and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	f, err := parse(args, stdout, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, "orioledemo:", err)
		return ExitUsage
	}
	if err := run(ctx, f, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "orioledemo:", err)
		return ExitFailed
	}
	return ExitOK
}

func parse(args []string, stdout, stderr io.Writer) (flags, error) {
	var f flags
	set := flag.NewFlagSet("orioledemo", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	set.IntVar(&f.entries, "entries", 3, "`number` of entry processes, 1 to 9")
	set.IntVar(&f.engines, "engines", 6, "`number` of engine stand-ins, 1 to 30")
	set.BoolVar(&f.verbose, "v", false, "log the entry processes to standard error")
	set.BoolVar(&f.once, "once", false, "send one streamed request, print its answer and exit")
	err := set.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(stdout, usageText)
		set.SetOutput(stdout)
		set.PrintDefaults()
		return f, err
	case err != nil:
		return f, fmt.Errorf("%w; see orioledemo -h", err)
	case set.NArg() > 0:
		return f, fmt.Errorf("unexpected argument %q; see orioledemo -h", set.Arg(0))
	case f.entries < 1 || f.entries > maxEntries:
		return f, fmt.Errorf("-entries: found %d, allowed: 1 to %d", f.entries, maxEntries)
	case f.engines < 1 || f.engines > maxEngines:
		return f, fmt.Errorf("-engines: found %d, allowed: 1 to %d", f.engines, maxEngines)
	}
	return f, nil
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
	l, err := start(ctx, options(f, log))
	if err != nil {
		return fmt.Errorf("start the fleet: %w", err)
	}
	defer l.Close()
	fmt.Fprintf(stdout, "ready after %s: %d entry processes, %d engines, zones %v\n",
		time.Since(began).Round(time.Millisecond), len(l.Entries), len(l.Engines), l.Options.Zones)
	if f.once {
		if err := ask(ctx, l.Entries[0].Settings.Listen.Callers, stdout); err != nil {
			return err
		}
		return stop(l, stdout)
	}
	printCommands(stdout, l)
	<-ctx.Done()
	return stop(l, stdout)
}

// start starts the fleet. The end of ctx ends the start; afterwards it has no
// effect on the fleet, because the stand-ins must outlive the graceful shutdown.
func start(ctx context.Context, o lab.Options) (*lab.Lab, error) {
	fleet, cancel := context.WithCancel(context.WithoutCancel(ctx))
	release := context.AfterFunc(ctx, cancel)
	defer release()
	l, err := lab.Start(fleet, o)
	if err != nil {
		cancel()
	}
	return l, err
}

// options returns the zones, services and rules of Bibliobuz at a size that
// starts within a few seconds.
func options(f flags, log *slog.Logger) lab.Options {
	o := lab.Bibliobuz()
	o.Entries, o.Engines, o.Log = f.entries, f.engines, log
	return o
}

// stop shuts the entry processes down gracefully, one after the other, as a
// rolling replacement does.
func stop(l *lab.Lab, stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for i, e := range l.Entries {
		if err := e.Stop(ctx); err != nil {
			return fmt.Errorf("entry process %d did not shut down gracefully: %w", i, err)
		}
	}
	fmt.Fprintln(stdout, "graceful shutdown complete")
	return nil
}
