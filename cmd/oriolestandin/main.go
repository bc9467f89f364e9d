// Command oriolestandin runs fakes of the systems around oriolefront for tests and
// experiments.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/oriolefront/oriolefront/internal/cli"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/logging"
	"github.com/oriolefront/oriolefront/internal/standin"
	"github.com/oriolefront/oriolefront/internal/tcp"
)

const usageText = `oriolestandin runs stand-ins for engines and platform services.

usage: oriolestandin -world FILE

FILE is TOML with tables [[engine]], [table], [objects], [vms] and [[plain]];
see docs/standins.md. It serves until SIGTERM or SIGINT.

exit codes: 0 stopped, 1 failed, 2 wrong usage

`

// standinConfig lists the stand-ins to run.
type standinConfig struct {
	Engines []engineConfig `toml:"engine"`
	platformConfig
}

type engineConfig struct {
	Name                   string          `toml:"name"`
	Listen                 string          `toml:"listen"`
	KVTokens               int             `toml:"kv-tokens"`
	PrefillTokensPerSecond float64         `toml:"prefill-tokens-per-second"`
	DecodeTokensPerSecond  float64         `toml:"decode-tokens-per-second"`
	MaxRunning             int             `toml:"max-running"`
	ColdRunning            int             `toml:"cold-running"`
	ColdTokens             int             `toml:"cold-tokens"`
	ColdFor                config.Duration `toml:"cold-for"`
	StartCold              bool            `toml:"start-cold"`
	LoadLag                config.Duration `toml:"load-lag"`
	CacheEventLag          config.Duration `toml:"cache-event-lag"`
	CacheEventLossEvery    int             `toml:"cache-event-loss-every"`
	ChecksFencing          bool            `toml:"checks-fencing"`
	Models                 []string        `toml:"models"`
}

func main() {
	os.Exit(run())
}

func run() int {
	flags := flag.NewFlagSet("oriolestandin", flag.ContinueOnError)
	file := flags.String("world", "", "TOML `file` that lists the stand-ins (required)")
	if code, ended := cli.Parse(flags, usageText, os.Args[1:], os.Stdout, os.Stderr); ended {
		return code
	}
	if *file == "" {
		return cli.UsageError(flags, os.Stderr, "-world is missing")
	}
	text, err := os.ReadFile(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oriolestandin:", err)
		return 2
	}
	w, err := parseConfig(*file, string(text))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serve(ctx, w); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// parseConfig decodes the file and rejects unknown keys.
func parseConfig(file, text string) (standinConfig, error) {
	var w standinConfig
	meta, err := toml.Decode(text, &w)
	if err != nil {
		return w, fmt.Errorf("%s: %w", file, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return w, fmt.Errorf("%s: unknown key %s", file, unknown[0])
	}
	return w, w.check(file)
}

func serve(ctx context.Context, w standinConfig) error {
	log, err := logging.New(os.Stderr, "info")
	if err != nil {
		return err
	}
	for _, t := range w.Engines {
		e := standin.NewEngine(t.options())
		listener, err := tcp.Listen(ctx, t.Listen)
		if err != nil {
			return fmt.Errorf("engine %s: %w", t.Name, err)
		}
		go e.Run(ctx)
		go http.Serve(listener, e.Handler())
		log.Info("engine stand-in listening", "name", t.Name, "address", t.Listen)
	}
	if err := w.servePlatform(log); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (t engineConfig) options() standin.EngineOptions {
	o := standin.EngineOptions{
		Name:                   t.Name,
		KVTokens:               t.KVTokens,
		PrefillTokensPerSecond: t.PrefillTokensPerSecond,
		DecodeTokensPerSecond:  t.DecodeTokensPerSecond,
		MaxRunning:             t.MaxRunning,
		MaxRunningCold:         t.ColdRunning,
		MaxTokensCold:          t.ColdTokens,
		ColdDuration:           time.Duration(t.ColdFor),
		StartCold:              t.StartCold,
		LoadLag:                time.Duration(t.LoadLag),
		CacheEventLag:          time.Duration(t.CacheEventLag),
		DropCacheEventEvery:    t.CacheEventLossEvery,
		ChecksFencing:          t.ChecksFencing,
	}
	for _, m := range t.Models {
		o.Models = append(o.Models, engine.Model{Name: m})
	}
	return o
}
