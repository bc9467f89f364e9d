// Command orioledemo starts stand-ins and entry processes in one process, to try
// oriolefront without any set-up.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/oriolefront/oriolefront/internal/demo"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := demo.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
