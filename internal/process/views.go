package process

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/replica"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// Decoder decodes rows of the platform's tables.
type Decoder interface {
	// Configuration decodes a row of the operator table if it holds the
	// configuration.
	Configuration(r replica.Record) (config *topology.Config, ok bool, err error)
	// ZoneOutOfService returns the zone if the row of the operator table takes one
	// out of service.
	ZoneOutOfService(r replica.Record) (zone string, ok bool)
	// Target decodes a row of the targets table.
	Target(r replica.Record, readAt time.Time) (*topology.Target, error)
}

// missingTargetGrace is how long a target stays in use after its row disappeared
// around a store outage. Live targets write their rows again within two seconds
// after the store is back.
const missingTargetGrace = 1600 * time.Millisecond

// viewBuilder builds the current view from the replicas of the tables.
type viewBuilder struct {
	log        *slog.Logger
	decoder    Decoder
	viewHolder *topology.Holder
	// recoveringFromOutage reports whether rows may be missing because they expired
	// during a recent store outage.
	recoveringFromOutage func() bool

	mu                sync.Mutex
	config            *topology.Config
	zonesOutOfService map[string]bool
	targets           map[string]*topology.Target
	missingSince      map[string]time.Time // when the row of a target disappeared around an outage
	rejected          map[string]bool      // keys of the targets' rows that cannot be decoded
	// configEpoch is the epoch of the store from which config was taken.
	configEpoch uint64
	// deferred holds, by key, rows of the zones and of the targets that changed only
	// because the store was restored, until they are written again or their time is over.
	deferred deferredRows
	// awaitingOperatorUntil is when the operator's writes that the store had lost are
	// back, after the store was restored.
	awaitingOperatorUntil time.Time
}

func newViewBuilder(log *slog.Logger, decoder Decoder, holder *topology.Holder, recoveringFromOutage func() bool) *viewBuilder {
	return &viewBuilder{
		log: log, decoder: decoder, viewHolder: holder, recoveringFromOutage: recoveringFromOutage,
		zonesOutOfService: map[string]bool{}, targets: map[string]*topology.Target{}, missingSince: map[string]time.Time{},
		rejected: map[string]bool{},
		deferred: deferredRows{},
	}
}

// operatorChanged applies changes of the operator table.
func (v *viewBuilder) operatorChanged(changed []replica.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range changed {
		v.operatorRowChanged(r)
	}
	v.publish()
}

// operatorRowChanged applies a change of the operator table. The caller must hold mu.
func (v *viewBuilder) operatorRowChanged(r replica.Record) {
	zone, ok := v.decoder.ZoneOutOfService(r)
	switch {
	case ok && r.Restored:
		v.deferRow(operatorRow, r, restoredZoneDelay)
	case ok:
		v.deferred.remove(operatorRow, r.Key)
		v.setZoneOutOfService(zone, !r.Deleted, r.Version)
	case !r.Deleted:
		v.setConfig(r)
	}
}

func (v *viewBuilder) setZoneOutOfService(zone string, outOfService bool, version uint64) {
	if v.zonesOutOfService[zone] == outOfService {
		return
	}
	v.log.Info("zone changed", "zone", zone, "out_of_service", outOfService, "row_version", version)
	if outOfService {
		v.zonesOutOfService[zone] = true
		return
	}
	delete(v.zonesOutOfService, zone)
}

func (v *viewBuilder) setConfig(r replica.Record) {
	config, ok, err := v.decoder.Configuration(r)
	if err != nil {
		v.log.Error("configuration not taken; keeping the active one", "row_version", r.Version, "error", err)
		return
	}
	if !ok {
		return
	}
	if v.config != nil && config.Version < v.config.Version && !v.writtenLater(r) {
		v.log.Info("older configuration not taken", "version", config.Version, "active_version", v.config.Version,
			"epoch", r.Epoch, "row_version", r.Version, "restored", r.Restored)
		return
	}
	v.log.Info("configuration activated", "version", config.Version, "epoch", r.Epoch, "row_version", r.Version,
		"routes", len(config.Routes), "services", len(config.Services), "accounts", len(config.Accounts))
	if err := errors.Join(config.Ignored...); err != nil {
		v.log.Warn("part of the configuration ignored", "version", config.Version, "error", err)
	}
	v.config, v.configEpoch = config, r.Epoch
}

// writtenLater reports whether a configuration was written after the store had lost the
// active one. Its number may then be lower, because the operator may use again a number
// that was lost.
func (v *viewBuilder) writtenLater(r replica.Record) bool {
	return r.Epoch > v.configEpoch && !r.Restored
}

// targetsChanged applies changes of the targets table.
func (v *viewBuilder) targetsChanged(changed []replica.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range changed {
		v.targetRowChanged(r, time.Now())
	}
	v.publish()
}

// targetRowChanged applies a change of the targets table. The caller must hold mu.
func (v *viewBuilder) targetRowChanged(r replica.Record, now time.Time) {
	if r.Restored && v.keepTarget(r, now) {
		return
	}
	v.deferred.remove(targetRow, r.Key)
	if r.Deleted {
		v.removeTarget(r, now)
		return
	}
	delete(v.missingSince, r.Key)
	t, err := v.decoder.Target(r, now)
	if err != nil {
		v.rejectTarget(r, err)
		return
	}
	delete(v.rejected, r.Key)
	v.log.Info("target known", "target", t.ID, "service", t.Service, "zone", t.Zone, "draining", t.Draining,
		"cold_for", max(t.ColdUntil.Sub(now), 0), "row_version", r.Version)
	v.targets[t.ID] = t
}

// rejectTarget applies a row that cannot be decoded: it names no target any more. Its writer may
// change it often, so that only the first of such rows is logged.
func (v *viewBuilder) rejectTarget(r replica.Record, err error) {
	if !v.rejected[r.Key] {
		v.log.Warn("target row ignored", "row_version", r.Version, "target_dropped", v.targets[r.Key] != nil, "error", err)
	}
	v.rejected[r.Key] = true
	delete(v.targets, r.Key)
}

func (v *viewBuilder) removeTarget(r replica.Record, now time.Time) {
	delete(v.rejected, r.Key)
	t := v.targets[r.Key]
	if t == nil {
		return
	}
	if v.recoveringFromOutage() && !t.Draining && v.mostTargetsMissing(t.Service) {
		v.log.Info("target row missing after a store outage; keeping the target for now", "target", r.Key, "row_version", r.Version)
		v.missingSince[r.Key] = now
		return
	}
	v.log.Info("target removed", "target", r.Key, "row_version", r.Version)
	delete(v.targets, r.Key)
}

// mostTargetsMissing reports whether the removal of one more target would leave
// less than half of a service's targets with a row. A single target whose row
// disappears has left; if many disappear together, their rows have expired.
func (v *viewBuilder) mostTargetsMissing(service string) bool {
	known, present := 0, 0
	for id, t := range v.targets {
		if t.Service != service {
			continue
		}
		known++
		if _, missing := v.missingSince[id]; !missing {
			present++
		}
	}
	return 2*(present-1) < known
}

// removeMissingTargets removes targets whose rows did not reappear in time.
func (v *viewBuilder) removeMissingTargets() {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	removed := false
	for id, since := range v.missingSince {
		if now.Sub(since) < missingTargetGrace {
			continue
		}
		v.log.Info("target removed", "target", id, "missing_for", now.Sub(since))
		delete(v.missingSince, id)
		delete(v.targets, id)
		removed = true
	}
	if removed {
		v.publish()
	}
}

func (v *viewBuilder) publish() {
	targets := make([]*topology.Target, 0, len(v.targets))
	for _, t := range v.targets {
		targets = append(targets, t)
	}
	zones := make(map[string]bool, len(v.zonesOutOfService))
	for zone := range v.zonesOutOfService {
		zones[zone] = true
	}
	if now := v.viewHolder.Get(); now.Config == v.config {
		v.viewHolder.Set(now.With(targets, zones))
		return
	}
	v.viewHolder.Set(topology.NewView(v.config, targets, zones))
}
