package testbed_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/testbed"
)

const (
	restoreOutage      = time.Second
	restoreObservation = 5 * time.Second
	// maxSpread is the time within which a version must be active on every VM.
	maxSpread = 3 * time.Second
)

// awaitZone waits until all entry processes have the zone in or out of service.
func awaitZone(t *testing.T, f *testbed.Fleet, zone string, outOfService bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range f.Entries {
			if e.Process.Config().Zones[zone].OutOfService != outOfService {
				return poll.Continue("%s has version %d", e.Settings.Listen.Callers, e.Process.Config().Version)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(maxSpread), poll.WithDelay(20*time.Millisecond))
}

// watchReadiness reports each entry process that is not ready until the returned
// function is called.
func watchReadiness(t *testing.T, f *testbed.Fleet) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var watchers sync.WaitGroup
	for _, address := range f.CallerAddresses() {
		watchers.Go(func() {
			for ctx.Err() == nil {
				response, err := http.Get("http://" + address + "/readyz")
				if err != nil {
					t.Errorf("%s: %v", address, err)
					return
				}
				response.Body.Close()
				if response.StatusCode != http.StatusOK {
					t.Errorf("%s is not ready", address)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	return func() { cancel(); watchers.Wait() }
}

// Guards against entry processes that stop serving, bring a zone back into service
// or accept no change any more after the table service came back without its
// latest writes.
func TestTableServiceReturnsToABackup(t *testing.T) {
	o := testbed.Bibliobuz()
	o.Entries, o.Engines, o.PlainTargets = 3, 3, 0
	f, err := testbed.Start(t.Context(), o)
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	zone := o.Zones[1]
	f.Table.Backup()
	assert.NilError(t, f.SetZoneOutOfService(t.Context(), zone, true))
	awaitZone(t, f, zone, true)

	stop := watchReadiness(t, f)
	defer stop()
	f.SetStoreDown(true)
	time.Sleep(restoreOutage)
	assert.Assert(t, f.Table.Restore())
	f.SetStoreDown(false)
	client := loadgen.NewClient(f.CallerAddresses(), testbed.AccountKey)
	for i, end := 0, time.Now().Add(restoreObservation); time.Now().Before(end); i++ {
		for _, address := range f.CallerAddresses() {
			r := client.DoAt(t.Context(), address, loadgen.Request{
				ID: fmt.Sprintf("%s-%d", address, i), Model: testbed.Model, PromptTokens: 100, MaxTokens: 1, Timeout: 10 * time.Second,
			})
			assert.Assert(t, r.Complete, "%s: %s", address, r.Error)
		}
		awaitZone(t, f, zone, true)
	}
	assert.NilError(t, f.SetZoneOutOfService(t.Context(), zone, false))
	awaitZone(t, f, zone, false)
}
