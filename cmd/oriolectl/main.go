// Command oriolectl is the command-line program for operators: it checks,
// compares, submits and shows the configuration.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/oriolefront/oriolefront/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	env := ctl.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
	code := ctl.Run(ctx, env, os.Args[1:])
	stop()
	os.Exit(code)
}
