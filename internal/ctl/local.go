package ctl

import (
	"crypto/rand"
	"fmt"

	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/certs"
)

// local finds a command that asks no server, or returns nil.
func (p *program) local(words []string) func() error {
	switch {
	case matches([]string{"check", "FILE"}, words):
		return func() error { return p.check(words[1]) }
	case matches([]string{"key", "new"}, words):
		return p.newKey
	case matches([]string{"certificate", "authority", "DIR"}, words):
		return func() error { return certs.NewAuthority(words[2]) }
	case matches([]string{"certificate", "vm", "DIR", "IP"}, words):
		return func() error { return certs.Issue(words[2], words[3]) }
	}
	return nil
}

// newKey prints a random key and the hash that settings and declarations take.
func (p *program) newKey() error {
	key := rand.Text()
	_, err := fmt.Fprintf(p.env.Stdout, "key:  %s\nhash: %s\n", key, auth.KeyHash(key))
	return err
}
