// Package usage parses the command lines of programs in one way: -h prints the
// usage text on standard output and ends with 0; a mistake prints one line on
// standard error and ends with 2.
package usage

import (
	"errors"
	"flag"
	"fmt"
	"io"
)

// ExitUsage is the exit code of a wrong command line.
const ExitUsage = 2

// Parse parses args. If ended is true the program ends with the code.
func Parse(flags *flag.FlagSet, text string, args []string, stdout, stderr io.Writer) (code int, ended bool) {
	flags.SetOutput(io.Discard)
	flags.Usage = func() {}
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(stdout, text)
		flags.SetOutput(stdout)
		flags.PrintDefaults()
		return 0, true
	case err != nil:
		return Wrong(flags, stderr, err.Error()), true
	}
	return 0, false
}

// Wrong reports a mistake in the command line and returns the exit code.
func Wrong(flags *flag.FlagSet, stderr io.Writer, mistake string) int {
	fmt.Fprintf(stderr, "%s: %s; see %s -h\n", flags.Name(), mistake, flags.Name())
	return ExitUsage
}
