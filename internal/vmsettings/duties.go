package vmsettings

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/oriolefront/oriolefront/internal/config"
)

// Names of duties.
const (
	UsageReport = "usage_report"
	Autoscale   = "autoscale"
)

// Duties configures the calls to the platform that one VM of the fleet makes at a time. A
// change needs a restart. All values are required.
type Duties struct {
	// Address is the IP and the port to which the calls go.
	Address string `toml:"address"`
	// Run names the duties: UsageReport, Autoscale.
	Run []string `toml:"run"`
	// Rate is the number of calls per second that the platform accepts from the fleet.
	Rate float64 `toml:"rate"`
	// Lease is the time within which the calls of one holder, another and the first again
	// must not follow each other.
	Lease config.Duration `toml:"lease"`
	// UsageWindow is the length of a window of usage, UsageDeadline the time after its end
	// at which its report is due.
	UsageWindow   config.Duration `toml:"usage-window"`
	UsageDeadline config.Duration `toml:"usage-deadline"`
}

// Runs reports whether a duty is among those of this deployment.
func (d *Duties) Runs(name string) bool { return d != nil && slices.Contains(d.Run, name) }

func (c *checker) checkDuties(d *Duties) {
	if d == nil {
		return
	}
	_, err := netip.ParseAddrPort(d.Address)
	c.require(err == nil, "duties.address", d.Address, "an IP address and a port")
	for _, name := range d.Run {
		c.require(name == UsageReport || name == Autoscale, "duties.run", name, UsageReport+", "+Autoscale)
	}
	c.require(d.Rate > 0, "duties.rate", fmt.Sprint(d.Rate), "a number above 0")
	c.require(d.Lease > 0, "duties.lease", d.Lease.Std().String(), "a duration above 0")
	c.require(d.UsageWindow > 0, "duties.usage-window", d.UsageWindow.Std().String(), "a duration above 0")
	c.require(d.UsageDeadline >= d.Lease, "duties.usage-deadline", d.UsageDeadline.Std().String(), "a duration not below duties.lease")
}
