// Package zones decides what crosses from one zone to another. Its decisions are pure functions of
// the configuration and of the load that all VMs know.
package zones

import (
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// distantShare is the share of the shortest objective of a streaming route from which a round trip
// between two zones makes them distant.
const distantShare = 0.01

// pair is a direction between two zones.
type pair struct{ from, to string }

// distances is what a configuration tells of the distances between zones.
type distances struct {
	config  *topology.Config
	distant bool
	// objective is the shortest of a streaming route, 0 if there is none.
	objective time.Duration
	// delays holds the longest one-way delay that a service names for each direction.
	delays map[pair]time.Duration
}

// measure evaluates a configuration, which may be nil.
func measure(c *topology.Config) *distances {
	d := &distances{config: c, delays: map[pair]time.Duration{}}
	if c == nil {
		return d
	}
	for _, s := range c.Services {
		for _, z := range s.ZoneDelays {
			if z.From != z.To {
				key := pair{z.From, z.To}
				d.delays[key] = max(d.delays[key], z.Delay)
			}
		}
	}
	if objective, ok := shortestObjective(c); ok {
		d.objective = objective
		for key := range d.delays {
			if float64(d.roundTrip(key.from, key.to)) >= distantShare*float64(objective) {
				d.distant = true
			}
		}
	}
	return d
}

func (d *distances) delay(from, to string) time.Duration {
	if delay, ok := d.delays[pair{from, to}]; ok {
		return delay
	}
	return d.delays[pair{to, from}]
}

func (d *distances) roundTrip(a, b string) time.Duration { return d.delay(a, b) + d.delay(b, a) }

// Delay returns the one-way delay from one zone to another: the longest that a service of the
// configuration names. A delay that is named for the opposite direction only applies to both. It
// is 0 within a zone and where none is named.
func Delay(c *topology.Config, from, to string) time.Duration { return measure(c).delay(from, to) }

// RoundTrip returns the delay from one zone to another and back.
func RoundTrip(c *topology.Config, a, b string) time.Duration { return measure(c).roundTrip(a, b) }

// Distant reports whether a round trip between any two zones takes a noticeable share of the
// shortest objective of a streaming route. It is false without delays or such a route.
func Distant(c *topology.Config) bool { return measure(c).distant }

// shortestObjective returns the shortest objective of a streaming route.
func shortestObjective(c *topology.Config) (objective time.Duration, ok bool) {
	for _, r := range c.Routes {
		if r.Kind == topology.Stream && r.Objective > 0 && (!ok || r.Objective < objective) {
			objective, ok = r.Objective, true
		}
	}
	return objective, ok
}

// Cache answers as the functions of the same names and evaluates each configuration once. A
// configuration must not change after it was passed. The zero value is ready.
type Cache struct{ last atomic.Pointer[distances] }

func (c *Cache) of(config *topology.Config) *distances {
	d := c.last.Load()
	if d == nil || d.config != config {
		d = measure(config)
		c.last.Store(d)
	}
	return d
}

// Distant is as the function Distant.
func (c *Cache) Distant(config *topology.Config) bool { return c.of(config).distant }

// RoundTrip is as the function RoundTrip.
func (c *Cache) RoundTrip(config *topology.Config, a, b string) time.Duration {
	return c.of(config).roundTrip(a, b)
}

// Share returns a round trip as a share of the shortest objective of a streaming route.
func (c *Cache) Share(config *topology.Config, a, b string) float64 {
	d := c.of(config)
	if d.objective <= 0 {
		return 0
	}
	return float64(d.roundTrip(a, b)) / float64(d.objective)
}
