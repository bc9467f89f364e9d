package testbed

import (
	"context"
	"fmt"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/standin"
)

// SetZoneOutOfService takes a zone out of service or back, through a patch.
func (l *Fleet) SetZoneOutOfService(ctx context.Context, name string, out bool) error {
	operation, err := Put("zone/"+name, config.Zone{Region: l.Options.Region, OutOfService: out})
	if err != nil {
		return err
	}
	return l.Submit(ctx, []config.Operation{operation})
}

// SetStoreDown switches an outage of table service and object store.
func (l *Fleet) SetStoreDown(down bool) {
	l.Table.SetFaults(standin.PlatformFaults{Down: down})
	l.Objects.SetFaults(standin.PlatformFaults{Down: down})
}

// LastAttemptStart returns how long after a moment the last new work reached an
// engine of a zone; 0 if none did.
func (l *Fleet) LastAttemptStart(zone string, since time.Time) time.Duration {
	last := time.Duration(0)
	for _, e := range l.Engines {
		if e.Zone != zone {
			continue
		}
		for _, entry := range e.Record().Entries() {
			if entry.Event == "start" && entry.At.After(since) {
				last = max(last, entry.At.Sub(since))
			}
		}
	}
	return last
}

// AttemptsAndExports returns the attempts and exports that engines hold.
func (l *Fleet) AttemptsAndExports() int {
	n := 0
	for _, e := range l.Engines {
		inventory := e.Inventory()
		n += len(inventory.Attempts) + len(inventory.Exports)
	}
	return n
}

// PeakStoreCalls returns the most reads and writes that the store saw in one
// second after a moment.
func (l *Fleet) PeakStoreCalls(since time.Time) (reads, writes int) {
	for _, s := range l.Table.Record().Seconds {
		if s.Second < since.Unix() {
			continue
		}
		reads = max(reads, s.Reads)
		writes = max(writes, s.Writes)
	}
	return reads, writes
}

const (
	// warmUpRequests each second with answers of warmUpOutput tokens keep more
	// requests in progress than near engines take, so that far ones get some.
	warmUpRequests = 15
	warmUpOutput   = 60
	warmUpTimeout  = 40 * time.Second
)

// WarmUp sends short requests until all engines are used as warm ones.
func (l *Fleet) WarmUp(ctx context.Context) error {
	client := loadgen.NewClient(l.CallerAddresses(), AccountKey)
	deadline := time.Now().Add(warmUpTimeout)
	for round := 0; time.Now().Before(deadline); round++ {
		loadgen.Run(ctx, client, loadgen.Workload{
			Model: Model, PerSecond: float64(warmUpRequests * l.Options.Engines), Duration: time.Second,
			Mix:  []loadgen.RequestKind{{Name: "warm-up", Weight: 1, MinPromptTokens: 200, MaxPromptTokens: 400, OutputTokens: warmUpOutput, Timeout: 10 * time.Second}},
			Seed: uint64(round), IDPrefix: fmt.Sprintf("warm-up-%d", round),
		})
		if l.allWarm() {
			return nil
		}
	}
	return fmt.Errorf("engines are not warm after %s", warmUpTimeout)
}

// allWarm asks the entry processes whether every engine's warm share is used.
func (l *Fleet) allWarm() bool {
	for _, entry := range l.Entries {
		if entry.stopped.Load() {
			continue
		}
		for _, e := range l.Engines {
			if !entry.Process.UsesWarmShare(e.Name) {
				return false
			}
		}
	}
	return true
}
