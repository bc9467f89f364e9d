// Package logging sets up structured logging, with one line of key=value pairs per
// event.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// New returns a logger that writes to w events of at least the given level: debug,
// info, warn or error.
func New(w io.Writer, level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log level: found %q, allowed: debug, info, warn, error", level)
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l, ReplaceAttr: errorMessageOnly})), nil
}

// errorMessageOnly reduces an error to its message. Otherwise the handler would also
// print the stack trace of wrapped errors, over many lines.
func errorMessageOnly(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok && err != nil {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
