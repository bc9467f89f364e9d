// Package ctl implements oriolectl, the command-line program for operators.
package ctl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"

	"github.com/oriolefront/oriolefront/internal/config"
)

// Exit codes.
const (
	ExitOK         = 0
	ExitFailed     = 1
	ExitUsage      = 2
	ExitRefused    = 3
	ExitUnknown    = 4
	ExitDifference = 5
)

// KeyVariable is the environment variable that holds the operator key.
const KeyVariable = "ORIOLECTL_KEY"

// ServersVariable is the environment variable that holds the default of -servers.
const ServersVariable = "ORIOLECTL_SERVERS"

const usageText = `oriolectl changes and shows the configuration of a fleet of entry VMs.

usage: oriolectl [flags] COMMAND

commands:
  check FILE           check declarations in TOML; asks no server
  diff FILE            show how the declarations differ from what is in force
  apply FILE           show the difference and submit it as one patch
  get                  show the configuration in force
  history [N]          show the accepted patches after version N
  status               show what one VM knows
  wait                 wait until all live VMs have the version in force
  zone out|in NAME     take a zone out of service, or bring it back
  target leave|join NAME   make a target leave, or bring it back
  patch show ID        show what became of a patch
  key new              make a key of an operator or account, and its hash
  certificate authority DIR   make an authority for the links between VMs
  certificate vm DIR IP       make the certificate of one VM, signed by it

The key of the operator comes from the environment variable ORIOLECTL_KEY or
from the file given by -key-file.

exit codes: 0 ok or no difference, 1 failed and not run, 2 wrong usage or
invalid declarations, 3 refused, 4 outcome unknown (repeat with the same -id
and -base), 5 diff found a difference

flags:
`

// Env holds the standard streams and the environment of the program.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Getenv         func(string) string
}

// program is one invocation of oriolectl.
type program struct {
	env     Env
	ctx     context.Context
	flags   *flag.FlagSet
	servers string
	keyFile string
	output  string
	id      string
	base    int64
	yes     bool
	client  *client
}

// usageError reports an invalid command line or invalid declarations.
type usageError struct{ error }

// errDifference reports that diff found a difference.
var errDifference = errors.New("difference found")

// Run executes a command line, given without the program name, and returns the
// exit code.
func Run(ctx context.Context, env Env, args []string) int {
	p := &program{env: env, ctx: ctx}
	positional, err := p.parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err == nil {
		err = p.execute(positional)
	}
	if err != nil && !errors.Is(err, errDifference) {
		fmt.Fprintln(env.Stderr, "oriolectl:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errDifference):
		return ExitDifference
	case errors.As(err, &outcomeUnknownError{}):
		return ExitUnknown
	case errors.As(err, &refusedError{}):
		return ExitRefused
	case errors.As(err, &usageError{}), errors.As(err, &invalidError{}):
		return ExitUsage
	}
	return ExitFailed
}

// parse accepts flags before, between and after the positional arguments, which
// it returns.
func (p *program) parse(args []string) ([]string, error) {
	p.flags = flag.NewFlagSet("oriolectl", flag.ContinueOnError)
	p.flags.SetOutput(io.Discard)
	p.flags.Usage = func() {}
	servers := p.env.Getenv(ServersVariable)
	if servers == "" {
		servers = "http://127.0.0.1:8081"
	}
	p.flags.StringVar(&p.servers, "servers", servers, "operator `URLs`, separated by commas, tried in order; also from "+ServersVariable)
	p.flags.StringVar(&p.keyFile, "key-file", "", "`file` with the operator key, if "+KeyVariable+" is not set")
	p.flags.StringVar(&p.output, "o", "text", "output `format`: text or json")
	p.flags.StringVar(&p.id, "id", "", "`id` of the patch; give it again to repeat a submission (default: random)")
	p.flags.Int64Var(&p.base, "base", -1, "`version` that the patch is against (default: the one in force)")
	p.flags.BoolVar(&p.yes, "yes", false, "submit without asking")
	var positional []string
	for {
		if err := p.flags.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				fmt.Fprint(p.env.Stdout, usageText)
				p.flags.SetOutput(p.env.Stdout)
				p.flags.PrintDefaults()
				return nil, err
			}
			return nil, usageError{fmt.Errorf("%w; see oriolectl -h", err)}
		}
		if p.flags.NArg() == 0 {
			return positional, p.checkFlags()
		}
		positional = append(positional, p.flags.Arg(0))
		args = p.flags.Args()[1:]
	}
}

func (p *program) checkFlags() error {
	if p.output != "text" && p.output != "json" {
		return usageError{config.Problem{Key: "-o", Found: p.output, Allowed: "text or json"}}
	}
	if p.id != "" && !config.ValidName(p.id) {
		return usageError{config.Problem{Key: "-id", Found: p.id, Allowed: "1 to 64 letters, digits, dots, underscores or hyphens"}}
	}
	if p.id == "" {
		p.id = rand.Text()
	}
	return nil
}

// connect reads the operator key and creates the client.
func (p *program) connect() error {
	key := p.env.Getenv(KeyVariable)
	if key == "" && p.keyFile != "" {
		data, err := os.ReadFile(p.keyFile)
		if err != nil {
			return usageError{err}
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return usageError{config.Problem{Key: KeyVariable, Found: "", Allowed: "the operator key there, or in the file of -key-file"}}
	}
	p.client = newClient(strings.Split(p.servers, ","), key)
	return nil
}

func (p *program) execute(args []string) error {
	if command := p.localCommand(args); command != nil {
		return command()
	}
	command, err := p.remoteCommand(args)
	if err != nil {
		return err
	}
	if err := p.connect(); err != nil {
		return err
	}
	return command()
}

// remoteCommand returns the command that args name; it needs a client.
func (p *program) remoteCommand(args []string) (func() error, error) {
	argument := ""
	if len(args) > 0 {
		argument = args[len(args)-1]
	}
	commands := map[string]func() error{
		"diff FILE":         func() error { return p.diff(argument) },
		"apply FILE":        func() error { return p.apply(argument) },
		"get":               p.get,
		"history":           func() error { return p.history("0") },
		"history N":         func() error { return p.history(argument) },
		"status":            p.status,
		"wait":              p.wait,
		"zone out NAME":     func() error { return p.setZoneOutOfService(argument, true) },
		"zone in NAME":      func() error { return p.setZoneOutOfService(argument, false) },
		"target leave NAME": func() error { return p.setTargetLeaving(argument, true) },
		"target join NAME":  func() error { return p.setTargetLeaving(argument, false) },
		"patch show ID":     func() error { return p.showPatch(argument) },
	}
	for pattern, command := range commands {
		if matches(strings.Fields(pattern), args) {
			return command, nil
		}
	}
	return nil, usageError{config.Problem{Key: "command", Found: strings.Join(args, " "), Allowed: "a command that oriolectl -h lists"}}
}

// matches compares arguments with a pattern in which an upper-case word stands
// for any argument.
func matches(pattern, args []string) bool {
	if len(pattern) != len(args) {
		return false
	}
	for i, w := range pattern {
		if w != args[i] && w != strings.ToUpper(w) {
			return false
		}
	}
	return true
}

// notSent reports whether a request failed before any byte of it was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// print writes v as JSON, or calls text if the output format is text.
func (p *program) print(v any, text func(w io.Writer)) error {
	if p.output == "text" {
		text(p.env.Stdout)
		return nil
	}
	e := json.NewEncoder(p.env.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
