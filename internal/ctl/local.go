package ctl

import (
	"crypto/rand"
	"fmt"

	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/certs"
)

// localCommand returns the command that args name if it contacts no server, or
// nil.
func (p *program) localCommand(args []string) func() error {
	switch {
	case matches([]string{"check", "FILE"}, args):
		return func() error { return p.check(args[1]) }
	case matches([]string{"key", "new"}, args):
		return p.newKey
	case matches([]string{"certificate", "authority", "DIR"}, args):
		return func() error { return certs.NewAuthority(args[2]) }
	case matches([]string{"certificate", "vm", "DIR", "IP"}, args):
		return func() error { return certs.Issue(args[2], args[3]) }
	}
	return nil
}

// newKey prints a random key and its hash, which settings and declarations
// contain.
func (p *program) newKey() error {
	key := rand.Text()
	_, err := fmt.Fprintf(p.env.Stdout, "key:  %s\nhash: %s\n", key, auth.KeyHash(key))
	return err
}
