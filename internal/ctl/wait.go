package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/operator"
)

const (
	// waitTimeout exceeds the heartbeat timeout, after which an unresponsive VM
	// becomes suspect and is no longer waited for.
	waitTimeout  = 30 * time.Second
	waitInterval = 200 * time.Millisecond
)

// wait returns when every live VM has the version that is active on the first
// VM that responds. It prints suspect VMs and does not wait for them.
func (p *program) wait() error {
	var version uint64
	for deadline := time.Now().Add(waitTimeout); ; {
		var s operator.Status
		if err := p.client.get(p.ctx, "/status", &s); err != nil {
			return err
		}
		version = max(version, s.Version)
		outdated, suspect := outdatedVMs(s, version)
		if len(outdated) == 0 {
			return p.printWaitResult(version, suspect)
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("version %d is not in force everywhere after %s: %s; see the log of these VMs", version, waitTimeout, strings.Join(outdated, ", "))
		}
		select {
		case <-p.ctx.Done():
			return p.ctx.Err()
		case <-time.After(waitInterval):
		}
	}
}

// outdatedVMs returns the live VMs with an older version, and the suspect VMs.
func outdatedVMs(s operator.Status, version uint64) (outdated, suspect []string) {
	if s.Version < version {
		outdated = append(outdated, s.Instance)
	}
	for _, peer := range s.Peers {
		switch {
		case peer.State == string(membership.Suspect):
			suspect = append(suspect, peer.Instance)
		case peer.State == string(membership.Live) && peer.Version < version:
			outdated = append(outdated, peer.Instance)
		}
	}
	return outdated, suspect
}

func (p *program) printWaitResult(version uint64, suspect []string) error {
	_, err := fmt.Fprintf(p.env.Stdout, "version %d is in force on all live VMs\n", version)
	if len(suspect) > 0 {
		fmt.Fprintf(p.env.Stderr, "silent VMs, not counted: %s\n", strings.Join(suspect, ", "))
	}
	return err
}
