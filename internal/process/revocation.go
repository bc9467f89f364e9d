package process

import "time"

// Fractions of the time after which a revoked API key must not be accepted.
const (
	// keyConfirmationShare leaves time for the difference between clock rates and for
	// the interval of the periodic checks.
	keyConfirmationShare = 0.9
	// pollShare is the interval at which the configuration is confirmed from the store.
	pollShare = 0.2
)

// revocationLimit returns a share of the configured bound.
func (p *Process) revocationLimit(share float64) time.Duration {
	return time.Duration(share * float64(p.settings.Load().Revocation.Bound.Std()))
}

// configurationPollInterval is how long the store may hold a watch of the configuration
// under strict revocation.
func (p *Process) configurationPollInterval() time.Duration { return p.revocationLimit(pollShare) }

// updateKeysUnconfirmed logs when the VM loses or regains the evidence that its API keys
// are current.
func (p *Process) updateKeysUnconfirmed() {
	unconfirmed := p.keysAreUnconfirmed()
	if p.keysUnconfirmed.Swap(unconfirmed) != unconfirmed {
		p.log.Warn("confirmation of API keys changed", "unconfirmed", unconfirmed,
			"configuration_age", p.operatorSyncer.Freshness.Age(), "limit", p.revocationLimit(keyConfirmationShare))
	}
}

// keysAreUnconfirmed reports whether an API key of the known configuration may have been
// revoked too long ago to be accepted. It is computed for each request, because a VM may
// be suspended at any moment.
func (p *Process) keysAreUnconfirmed() bool {
	return p.settings.Load().Revocation.Strict && p.operatorSyncer.Freshness.Age() > p.revocationLimit(keyConfirmationShare)
}
