package process

import (
	"context"
	"os"
	"time"

	"github.com/oriolefront/oriolefront/internal/vmsettings"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// filePollInterval is the interval at which the settings file is checked for
// changes, which may come without a signal.
const filePollInterval = 3 * time.Second

// Reload reads the settings file again. Invalid settings are rejected as a whole
// and the active ones are kept. Changes of addresses, VM name and zone take
// effect only at the next start.
func (p *Process) Reload() {
	s, err := vmsettings.Load(p.settingsFile)
	if err != nil {
		p.log.Error("settings not reloaded; keeping the active ones", "error", err)
		return
	}
	if s.Listen != p.listenAddresses || s.VM.Name != p.vm.Name || s.VM.Zone != p.vm.Zone {
		p.log.Warn("settings change the addresses, VM name or zone; restart to apply this", "file", p.settingsFile)
	}
	p.settings.Store(s)
	p.addSeeds()
	p.log.Info("settings reloaded", "file", p.settingsFile, "grace", s.Stop.Grace.Std(), "seeds", len(s.Peers.Seeds))
}

// watchSettingsFile reloads the settings when their file has changed.
func (p *Process) watchSettingsFile(ctx context.Context) {
	last := p.settingsModTime()
	for wait.For(ctx, filePollInterval) {
		if now := p.settingsModTime(); !now.Equal(last) {
			last = now
			p.Reload()
		}
	}
}

// settingsModTime returns the modification time of the settings file, or the zero
// time if it cannot be determined.
func (p *Process) settingsModTime() time.Time {
	info, err := os.Stat(p.settingsFile)
	if err != nil {
		p.log.Debug("settings file not found", "file", p.settingsFile, "error", err)
		return time.Time{}
	}
	return info.ModTime()
}
