package process

import (
	"context"
	"os"
	"time"

	"github.com/oriolefront/oriolefront/internal/vmsettings"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// fileInterval is the time between two looks at the settings file, which may
// change without a signal.
const fileInterval = 3 * time.Second

// Reload reads the settings file again. Settings with a fault are refused as a
// whole and the earlier ones stay in force. Addresses, name and zone stay as
// they were at the start.
func (p *Process) Reload() {
	s, err := vmsettings.Load(p.file)
	if err != nil {
		p.log.Error("settings not reloaded; the earlier ones stay in force", "error", err)
		return
	}
	if s.Listen != p.listens || s.VM.Name != p.vm.Name || s.VM.Zone != p.vm.Zone {
		p.log.Warn("settings name other addresses; they hold from the next start on", "file", p.file)
	}
	p.settings.Store(s)
	p.addSeeds()
	p.log.Info("settings reloaded", "file", p.file, "grace", s.Stop.Grace.Std(), "seeds", len(s.Peers.Seeds))
}

// followFile reloads the settings when their file has changed.
func (p *Process) followFile(ctx context.Context) {
	last := p.modified()
	for wait.For(ctx, fileInterval) {
		if now := p.modified(); !now.Equal(last) {
			last = now
			p.Reload()
		}
	}
}

// modified returns when the settings file was last changed, the zero time when
// that cannot be told.
func (p *Process) modified() time.Time {
	info, err := os.Stat(p.file)
	if err != nil {
		p.log.Debug("settings file not found", "file", p.file, "error", err)
		return time.Time{}
	}
	return info.ModTime()
}
