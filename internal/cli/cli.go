// Package usage parses command lines in the same way for all programs: -h prints
// the usage text to standard output and exits with 0; an error prints one line to
// standard error and exits with 2.
package cli

import (
	"errors"
	"flag"
	"fmt"
	"io"
)

// ExitUsage is the exit code for an invalid command line.
const ExitUsage = 2

// Parse parses args. If ended is true, the program must exit with the code.
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
		return UsageError(flags, stderr, err.Error()), true
	}
	return 0, false
}

// UsageError reports an error in the command line and returns the exit code.
func UsageError(flags *flag.FlagSet, stderr io.Writer, mistake string) int {
	fmt.Fprintf(stderr, "%s: %s; see %s -h\n", flags.Name(), mistake, flags.Name())
	return ExitUsage
}

// Program is a program that is configured by one settings file.
type Program[S any] struct {
	Name      string
	UsageText string
	// SettingsHelp describes the flag -settings; DefaultFile is its default.
	SettingsHelp string
	DefaultFile  string
	// Load reads and validates a settings file.
	Load func(file string) (S, error)
}

// ParseAndLoad parses args, which are -settings FILE and -check, and loads the
// settings. If ended is true, the program must exit with the code.
func (p Program[S]) ParseAndLoad(args []string, stdout, stderr io.Writer) (s S, file string, code int, ended bool) {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.StringVar(&file, "settings", p.DefaultFile, p.SettingsHelp)
	check := flags.Bool("check", false, "check the settings and exit")
	if code, ended := Parse(flags, p.UsageText, args, stdout, stderr); ended {
		return s, file, code, true
	}
	if flags.NArg() > 0 {
		return s, file, UsageError(flags, stderr, fmt.Sprintf("unexpected argument %q", flags.Arg(0))), true
	}
	if file == "" {
		return s, file, UsageError(flags, stderr, "-settings is missing"), true
	}
	s, err := p.Load(file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return s, file, ExitUsage, true
	}
	if *check {
		fmt.Fprintln(stdout, "settings are valid")
		return s, file, 0, true
	}
	return s, file, 0, false
}
