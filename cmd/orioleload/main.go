// Command orioleload generates load on entry processes and runs the benchmark and
// scaling experiments.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/oriolefront/oriolefront/internal/benchmark"
	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/logging"
	"github.com/oriolefront/oriolefront/internal/scaling"
)

const usageText = `orioleload generates load and runs experiments.

usage:
  orioleload measure [-seed N] [-short] [NAME...]
        runs the named experiments, or all, in one process on loopback, and
        prints lines measure=NAME policy=P value=V unit=U ok=true|false
  orioleload slopes [NAME...]
        measures how the cost of control and of the request path grows, each
        within two minutes, and prints lines measure=NAME slope=... plan_value=...
  orioleload run [flags] ENTRY...
        sends an open-loop load to entry processes (IP:port)

exit codes: 0 every figure met its target, 1 an experiment failed to run or a
figure missed its target, 2 wrong usage

`

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usageText)
		return 2
	}
	switch args[0] {
	case "measure":
		return runMeasure(ctx, args[1:])
	case "slopes":
		return runSlopes(ctx, args[1:])
	case "run":
		return runLoad(ctx, args[1:])
	case "-h", "-help", "--help", "help":
		fmt.Print(usageText)
		return 0
	}
	fmt.Fprint(os.Stderr, usageText)
	return 2
}

func runMeasure(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("measure", flag.ExitOnError)
	seed := flags.Uint64("seed", 1, "`seed` of arrivals and prompts")
	short := flags.Bool("short", false, "cut runs to a third of their length")
	logFile := flags.String("log", "", "`file` for the log of the entry processes")
	flags.Parse(args)
	known := map[string]bool{}
	var names []string
	for _, m := range benchmark.Experiments() {
		known[m.Name] = true
		names = append(names, m.Name)
	}
	for _, name := range flags.Args() {
		if !known[name] {
			fmt.Fprintf(os.Stderr, "unknown experiment %q, allowed: %s\n", name, strings.Join(names, ", "))
			return 2
		}
	}
	env := &benchmark.Env{Seed: *seed, Short: *short, Out: os.Stdout}
	if *logFile != "" {
		file, err := os.Create(*logFile)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer file.Close()
		if env.Log, err = logging.New(file, "info"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
	}
	ok, err := benchmark.Run(ctx, env, flags.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if !ok {
		return 1
	}
	return 0
}

func runSlopes(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("slopes", flag.ExitOnError)
	flags.Parse(args)
	names := scaling.ExperimentNames()
	for _, name := range flags.Args() {
		if !slices.Contains(names, name) {
			fmt.Fprintf(os.Stderr, "unknown measure %q, allowed: %s\n", name, strings.Join(names, ", "))
			return 2
		}
	}
	if err := scaling.Run(ctx, os.Stdout, flags.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func runLoad(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("run", flag.ExitOnError)
	model := flags.String("model", "catalogue", "`model` to ask for")
	rate := flags.Float64("rate", 10, "requests a second")
	length := flags.Duration("duration", 10*time.Second, "length of the run")
	low := flags.Int("min-tokens", 1000, "shortest prompt in tokens")
	high := flags.Int("max-tokens", 4000, "longest prompt in tokens")
	output := flags.Int("output", 16, "length of an answer in tokens")
	readDelay := flags.Duration("read-delay", 0, "time that a slow reader waits after each event")
	seed := flags.Uint64("seed", 1, "`seed` of arrivals and prompts")
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), "usage: orioleload run [flags] ENTRY...\n\nThe account key comes from the environment variable ORIOLELOAD_KEY.")
		flags.PrintDefaults()
	}
	flags.Parse(args)
	key := os.Getenv("ORIOLELOAD_KEY")
	if flags.NArg() == 0 || key == "" {
		flags.Usage()
		return 2
	}
	summary := loadgen.Run(ctx, loadgen.NewClient(flags.Args(), key), loadgen.Workload{
		Model: *model, PerSecond: *rate, Duration: *length, Seed: *seed, IDPrefix: fmt.Sprintf("run-%d", time.Now().UnixNano()),
		Mix: []loadgen.RequestKind{{Name: "run", Weight: 1, MinPromptTokens: *low, MaxPromptTokens: *high, OutputTokens: *output, ReadDelay: *readDelay}},
	})
	fmt.Println(summary)
	for _, q := range []float64{50, 95, 99} {
		fmt.Printf("first_token_p%g=%s\n", q, summary.TimeToFirstToken("run", q))
	}
	if summary.Complete < summary.Sent {
		return 1
	}
	return 0
}
