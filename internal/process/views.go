package process

import (
	"log/slog"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/replica"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// Decoder decodes the rows of the platform's tables.
type Decoder interface {
	// Configuration decodes a row of the operator's table, if it is the
	// configuration.
	Configuration(r replica.Record) (config *topology.Config, is bool, err error)
	// ZoneOutOfService returns the zone that a row of the operator's table takes out.
	ZoneOutOfService(r replica.Record) (zone string, is bool)
	// Target decodes a row of the targets' table.
	Target(r replica.Record, readAt time.Time) (*topology.Target, error)
}

// lapseGrace is how long a target that vanished from the store around an outage
// stays in use: living ones write their rows again within two seconds of the
// store's return.
const lapseGrace = 1600 * time.Millisecond

// views builds the current view from the copies of the tables.
type views struct {
	log     *slog.Logger
	decoder Decoder
	holder  *topology.Holder
	// unsettled reports whether rows may have lapsed in an outage of the store.
	unsettled func() bool

	mu       sync.Mutex
	config   *topology.Config
	zonesOut map[string]bool
	targets  map[string]*topology.Target
	lapsing  map[string]time.Time // when a target vanished around an outage
}

func newViews(log *slog.Logger, decoder Decoder, holder *topology.Holder, unsettled func() bool) *views {
	return &views{
		log: log, decoder: decoder, holder: holder, unsettled: unsettled,
		zonesOut: map[string]bool{}, targets: map[string]*topology.Target{}, lapsing: map[string]time.Time{},
	}
}

// operatorChanged takes changes of the operator's table.
func (v *views) operatorChanged(changed []replica.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range changed {
		if zone, is := v.decoder.ZoneOutOfService(r); is {
			v.setZone(zone, !r.Deleted, r.Version)
			continue
		}
		if !r.Deleted {
			v.setConfig(r)
		}
	}
	v.publish()
}

func (v *views) setZone(zone string, out bool, version uint64) {
	if v.zonesOut[zone] == out {
		return
	}
	v.log.Info("zone changed", "zone", zone, "out", out, "row_version", version)
	if out {
		v.zonesOut[zone] = true
		return
	}
	delete(v.zonesOut, zone)
}

func (v *views) setConfig(r replica.Record) {
	config, is, err := v.decoder.Configuration(r)
	if err != nil {
		v.log.Error("configuration not taken; the earlier one stays in force", "row_version", r.Version, "error", err)
		return
	}
	if !is || v.config != nil && config.Version < v.config.Version {
		return
	}
	v.log.Info("configuration in force", "version", config.Version, "row_version", r.Version,
		"routes", len(config.Routes), "services", len(config.Services), "accounts", len(config.Accounts))
	v.config = config
}

// targetsChanged takes changes of the targets' table.
func (v *views) targetsChanged(changed []replica.Record) {
	now := time.Now()
	unsettled := v.unsettled()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range changed {
		if r.Deleted {
			v.removeTarget(r, unsettled, now)
			continue
		}
		delete(v.lapsing, r.Key)
		t, err := v.decoder.Target(r, now)
		if err != nil {
			v.log.Warn("target row ignored", "row_version", r.Version, "error", err)
			delete(v.targets, r.Key)
			continue
		}
		v.log.Info("target known", "target", t.ID, "service", t.Service, "zone", t.Zone, "draining", t.Draining,
			"cold_for", max(t.ColdUntil.Sub(now), 0), "row_version", r.Version)
		v.targets[t.ID] = t
	}
	v.publish()
}

func (v *views) removeTarget(r replica.Record, unsettled bool, now time.Time) {
	t := v.targets[r.Key]
	if t == nil {
		return
	}
	if unsettled && !t.Draining && v.mostGone(t.Service) {
		v.log.Info("target vanished around an outage of the store", "target", r.Key, "row_version", r.Version)
		v.lapsing[r.Key] = now
		return
	}
	v.log.Info("target gone", "target", r.Key, "row_version", r.Version)
	delete(v.targets, r.Key)
}

// mostGone reports whether few targets of a service would be left. One that
// vanishes alone has left; many at once have lapsed.
func (v *views) mostGone(service string) bool {
	known, left := 0, 0
	for id, t := range v.targets {
		if t.Service != service {
			continue
		}
		known++
		if _, lapsing := v.lapsing[id]; !lapsing {
			left++
		}
	}
	return 2*(left-1) < known
}

// tick removes targets that have not come back.
func (v *views) tick() {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	removed := false
	for id, at := range v.lapsing {
		if now.Sub(at) < lapseGrace {
			continue
		}
		v.log.Info("target gone", "target", id, "vanished", now.Sub(at))
		delete(v.lapsing, id)
		delete(v.targets, id)
		removed = true
	}
	if removed {
		v.publish()
	}
}

func (v *views) publish() {
	targets := make([]*topology.Target, 0, len(v.targets))
	for _, t := range v.targets {
		targets = append(targets, t)
	}
	zones := make(map[string]bool, len(v.zonesOut))
	for zone := range v.zonesOut {
		zones[zone] = true
	}
	if now := v.holder.Get(); now.Config == v.config {
		v.holder.Set(now.With(targets, zones))
		return
	}
	v.holder.Set(topology.NewView(v.config, targets, zones))
}
