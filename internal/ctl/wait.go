package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/operator"
)

const (
	// waitTimeout is above the time in which a live VM that stopped answering
	// becomes silent and is no longer waited for.
	waitTimeout  = 30 * time.Second
	waitInterval = 200 * time.Millisecond
)

// wait returns when every live VM has the version that the first answering VM
// has in force now. VMs that are silent are named and not waited for.
func (p *program) wait() error {
	var version uint64
	for deadline := time.Now().Add(waitTimeout); ; {
		var s operator.Status
		if err := p.client.get(p.ctx, "/status", &s); err != nil {
			return err
		}
		version = max(version, s.Version)
		behind, silent := laggards(s, version)
		if len(behind) == 0 {
			return p.showWaited(version, silent)
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("version %d is not in force everywhere after %s: %s; see the log of these VMs", version, waitTimeout, strings.Join(behind, ", "))
		}
		select {
		case <-p.ctx.Done():
			return p.ctx.Err()
		case <-time.After(waitInterval):
		}
	}
}

// laggards returns the live VMs whose version is lower, and the silent VMs.
func laggards(s operator.Status, version uint64) (behind, silent []string) {
	if s.Version < version {
		behind = append(behind, s.Instance)
	}
	for _, peer := range s.Peers {
		switch {
		case peer.State == string(membership.Suspect):
			silent = append(silent, peer.Instance)
		case peer.State == string(membership.Live) && peer.Version < version:
			behind = append(behind, peer.Instance)
		}
	}
	return behind, silent
}

func (p *program) showWaited(version uint64, silent []string) error {
	_, err := fmt.Fprintf(p.env.Stdout, "version %d is in force on all live VMs\n", version)
	if len(silent) > 0 {
		fmt.Fprintf(p.env.Stderr, "silent VMs, not counted: %s\n", strings.Join(silent, ", "))
	}
	return err
}
