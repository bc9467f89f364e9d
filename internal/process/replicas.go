package process

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/replica"
	"github.com/oriolefront/oriolefront/internal/storesync"
)

// refresh reads the changes of a table from the store.
func (p *Process) refresh(ctx context.Context, table string) error {
	if s := p.syncerOf(table); s != nil {
		return s.Refresh(ctx)
	}
	return fmt.Errorf("table %q is not replicated here", table)
}

func (p *Process) syncers() []*storesync.Syncer {
	return []*storesync.Syncer{p.operatorSyncer, p.targetsSyncer}
}

// syncerOf returns the syncer of a table, or nil.
func (p *Process) syncerOf(table string) *storesync.Syncer {
	for _, s := range p.syncers() {
		if s.Replica.Table() == table {
			return s
		}
	}
	return nil
}

// storeEpoch returns the latest epoch of the store that this VM knows.
func (p *Process) storeEpoch() uint64 {
	epoch := uint64(0)
	for _, s := range p.syncers() {
		epoch = max(epoch, s.Replica.Position().Epoch)
	}
	return epoch
}

// alignTables lets the tables share what one of them has shown of a new epoch of the store:
// that the store answers again, and its lowest version.
func (p *Process) alignTables() {
	epoch := p.storeEpoch()
	for _, s := range p.syncers() {
		if at, base := s.Replica.PositionAndBase(); at.Epoch == epoch {
			p.observeBase(epoch, base)
		} else if p.alignedEpoch != epoch {
			s.Retry()
		}
	}
	p.alignedEpoch = epoch
}

// confirmed returns up to which time of the store's clock in an epoch the replica of a
// table is known to be current.
func (p *Process) confirmed(table string) (uint64, time.Duration, bool) {
	s := p.syncerOf(table)
	if s == nil {
		return 0, 0, false
	}
	return s.Confirmed()
}

// confirm records what another VM knows about a position of a table.
func (p *Process) confirm(table string, to replica.Position, storeTime time.Duration) {
	if s := p.syncerOf(table); s != nil {
		s.Confirm(to, storeTime)
	}
}

// clock returns an upper bound of the store's clock in an epoch.
func (p *Process) clock(table string) (uint64, time.Duration, bool) {
	s := p.syncerOf(table)
	if s == nil {
		return 0, 0, false
	}
	return s.Clock()
}

// observeClock records another VM's bound of the store's clock.
func (p *Process) observeClock(table string, epoch uint64, sentAt, storeTime time.Duration) {
	if s := p.syncerOf(table); s != nil {
		s.ObserveClock(epoch, sentAt, storeTime)
	}
}

// observeBase records the lowest version of the store that another VM knows of an epoch.
func (p *Process) observeBase(epoch, base uint64) {
	for _, s := range p.syncers() {
		s.ObserveBase(epoch, base)
	}
}

// applyDelta applies changes received from another VM.
func (p *Process) applyDelta(d replica.Delta) {
	if s := p.syncerOf(d.Table); s != nil {
		s.Apply(d)
	}
}

func (p *Process) operatorChanged(changed []replica.Record) {
	p.viewBuilder.operatorChanged(changed)
	p.mesh.ScheduleStatusHeartbeat()
}

func (p *Process) targetsChanged(changed []replica.Record) {
	p.viewBuilder.targetsChanged(changed)
	p.mesh.ScheduleStatusHeartbeat()
}

// lastStoreContact returns when the store last responded to this VM.
func (p *Process) lastStoreContact() time.Time {
	a, b := p.operatorSyncer.LastContact(), p.targetsSyncer.LastContact()
	if a.After(b) {
		return a
	}
	return b
}

// storeUnreachable reports whether this VM's last call for one of the tables
// failed.
func (p *Process) storeUnreachable() bool {
	return p.operatorSyncer.Failing() || p.targetsSyncer.Failing()
}

// shouldWatch reports whether this VM must watch a table in the store, because it
// is among the first VMs of its zone that can reach the store, or can reach none
// of them.
func (p *Process) shouldWatch(readers int) bool {
	return slices.Index(p.mesh.StoreReaders(), p.vm.Name) < readers
}

// maxTargetsAge returns the age of the targets' replica from which this VM reads the store.
func (p *Process) maxTargetsAge() time.Duration {
	if p.shouldWatch(targetsTableReaders) {
		return targetsConfirmAge
	}
	return targetsTakeoverAge
}

// recoveringFromOutage reports whether rows may be missing because they expired
// during a recent store outage.
func (p *Process) recoveringFromOutage() bool {
	at := p.lastOutage.Load()
	return at != nil && time.Since(*at) < outageRecoveryTime
}
