// Package logging sets up the structured log: one line of key=value pairs for
// each event.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// New returns a logger that writes to w from the given level on: debug, info,
// warn or error.
func New(w io.Writer, level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log level: found %q, allowed: debug, info, warn, error", level)
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l, ReplaceAttr: oneLine})), nil
}

// oneLine logs an error by its message alone. The handler would print the
// stack that wrapped errors carry, over many lines.
func oneLine(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok && err != nil {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
