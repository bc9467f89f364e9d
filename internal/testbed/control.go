package testbed

import (
	"context"
	"fmt"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/standin"
)

// SetZoneOutOfService submits a patch that takes a zone out of service or brings
// it back.
func (f *Fleet) SetZoneOutOfService(ctx context.Context, name string, outOfService bool) error {
	operation, err := PutOperation("zone/"+name, config.Zone{Region: f.Options.Region, OutOfService: outOfService})
	if err != nil {
		return err
	}
	return f.Submit(ctx, []config.Operation{operation})
}

// SetStoreDown starts or ends an outage of the table service and the object
// store.
func (f *Fleet) SetStoreDown(down bool) {
	f.Table.SetFaults(standin.PlatformFaults{Down: down})
	f.Objects.SetFaults(standin.PlatformFaults{Down: down})
}

// LastAttemptStart returns the time from since to the last start of an attempt on
// an engine of a zone, or 0 if none started.
func (f *Fleet) LastAttemptStart(zone string, since time.Time) time.Duration {
	last := time.Duration(0)
	for _, e := range f.Engines {
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

// AttemptsAndExports returns the number of attempts and exports on all engines.
func (f *Fleet) AttemptsAndExports() int {
	n := 0
	for _, e := range f.Engines {
		inventory := e.Inventory()
		n += len(inventory.Attempts) + len(inventory.Exports)
	}
	return n
}

// PeakStoreCalls returns the highest number of reads, and of writes, that the
// table service received within one second since the given time.
func (f *Fleet) PeakStoreCalls(since time.Time) (reads, writes int) {
	for _, s := range f.Table.Record().Seconds {
		if s.Second < since.Unix() {
			continue
		}
		reads = max(reads, s.Reads)
		writes = max(writes, s.Writes)
	}
	return reads, writes
}

const (
	// warmUpRequests per second and engine, with warmUpOutput output tokens each,
	// exceed the capacity of the near engines, so that distant ones get requests
	// too.
	warmUpRequests = 15
	warmUpOutput   = 60
	warmUpTimeout  = 40 * time.Second
)

// WarmUp sends short requests until all entry processes use their warm share of
// every engine.
func (f *Fleet) WarmUp(ctx context.Context) error {
	client := loadgen.NewClient(f.CallerAddresses(), AccountKey)
	deadline := time.Now().Add(warmUpTimeout)
	for round := 0; time.Now().Before(deadline); round++ {
		loadgen.Run(ctx, client, loadgen.Workload{
			Model: Model, PerSecond: float64(warmUpRequests * f.Options.Engines), Duration: time.Second,
			Mix:  []loadgen.RequestKind{{Name: "warm-up", Weight: 1, MinPromptTokens: 200, MaxPromptTokens: 400, OutputTokens: warmUpOutput, Timeout: 10 * time.Second}},
			Seed: uint64(round), IDPrefix: fmt.Sprintf("warm-up-%d", round),
		})
		if f.allWarm() {
			return nil
		}
	}
	return fmt.Errorf("engines are not warm after %s", warmUpTimeout)
}

// allWarm reports whether all running entry processes use their warm share of
// every engine.
func (f *Fleet) allWarm() bool {
	for _, entry := range f.Entries {
		if entry.stopped.Load() {
			continue
		}
		for _, e := range f.Engines {
			if !entry.Process.UsesWarmShare(e.Name) {
				return false
			}
		}
	}
	return true
}
