package scaling

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/confsync"
	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

// configCost measures the cost of a patch to one target in configurations of
// growing size.
func configCost(context.Context) ([]Result, error) {
	var all []*series
	for _, dimension := range []struct {
		name  string
		sizes []int
		plan  float64
		make  func(n int) *config.Config
	}{
		{"targets", []int{1_000, 3_000, 6_000, plannedTargets}, plannedTargets, func(n int) *config.Config { return syntheticConfig(n, 10, virtualAddress) }},
		{"accounts", []int{2_000, 8_000, 15_000, plannedAccounts}, plannedAccounts, func(n int) *config.Config { return syntheticConfig(10, n, virtualAddress) }},
	} {
		replay := &series{name: "replay_cpu_" + dimension.name, unit: "seconds of a patch per object", planX: dimension.plan}
		replayBytes := &series{name: "replay_alloc_" + dimension.name, unit: "bytes allocated by a patch per object", planX: dimension.plan}
		accept := &series{name: "accept_cpu_" + dimension.name, unit: "seconds of a patch per object", planX: dimension.plan}
		ledger := &series{name: "ledger_cpu_" + dimension.name, unit: "seconds of a patch in the ledger per object", planX: dimension.plan}
		size := &series{name: "snapshot_bytes_" + dimension.name, unit: "bytes of an encoded snapshot per object", planX: dimension.plan}
		decode := &series{name: "snapshot_cpu_" + dimension.name, unit: "seconds to decode and check a snapshot per object", planX: dimension.plan}
		keys := &series{name: "keys_cpu_" + dimension.name, unit: "seconds to make the key index per object", planX: dimension.plan}
		for _, n := range dimension.sizes {
			base, err := rebuildFromDocument(dimension.make(n))
			if err != nil {
				return nil, err
			}
			if err := patchPoint(base, float64(n), replay, replayBytes, accept, ledger); err != nil {
				return nil, err
			}
			if err := snapshotPoint(base, float64(n), size, decode); err != nil {
				return nil, err
			}
			keys.add(float64(n), lowestCPU(5, func() { newKeyIndex(base) }).Seconds())
		}
		all = append(all, replay, replayBytes, accept, ledger, size, decode, keys)
	}
	return resultsOf(all...), nil
}

func patchPoint(base *config.Config, x float64, replay, replayBytes, accept, ledger *series) error {
	patch, err := oneTargetPatch(base, 2)
	if err != nil {
		return err
	}
	record, next, err := config.Accept(base, patch, time.Now())
	if err != nil {
		return err
	}
	const runs = 7
	accept.add(x, lowestCPU(runs, func() { config.Accept(base, patch, time.Now()) }).Seconds())
	replay.add(x, lowestCPU(runs, func() { config.Replay(base, record) }).Seconds())
	replayBytes.add(x, allocated(func() { config.Replay(base, record) }))
	ledger.add(x, ledgerPatchCPU(base, next).Seconds())
	return nil
}

// snapshotPoint measures the size and the decoding of a snapshot, from which a
// new VM starts.
func snapshotPoint(base *config.Config, x float64, size, decode *series) error {
	document := base.Document()
	document.Version = config.SnapshotInterval - 1
	before, err := document.Config()
	if err != nil {
		return err
	}
	patch, err := oneTargetPatch(before, 2)
	if err != nil {
		return err
	}
	record, next, err := config.Accept(before, patch, time.Now())
	if err != nil {
		return err
	}
	data, err := json.Marshal(config.NewSnapshot(next, before.Hash, record))
	if err != nil {
		return err
	}
	size.add(x, float64(len(data)))
	decode.add(x, lowestCPU(3, func() { _, _, err = config.DecodeSnapshot(data) }).Seconds())
	return err
}

// ledgerPatchCPU returns the processor time that the ledger needs for a new
// version.
func ledgerPatchCPU(base, next *config.Config) time.Duration {
	lowest := time.Hour
	for range 3 {
		holder := &config.Holder{}
		holder.PublishIfNewer(base)
		l, _ := newLedgerOn(holder)
		holder.PublishIfNewer(next)
		lowest = min(lowest, cpuOf(func() { l.Reserve(targetName(0), 0) }))
	}
	return lowest
}

// patchFetch measures the bytes of fetching patches from another VM.
func patchFetch(ctx context.Context) ([]Result, error) {
	log := slog.New(slog.DiscardHandler)
	s := confsync.New(confsync.Options{
		Table: storefake.NewTable(), Objects: storefake.NewObjects(), Holder: &config.Holder{}, Caller: fakeCaller{},
		HasQuorum: func() bool { return true }, Peers: func() []membership.Peer { return nil }, HeldSeats: func() int { return 1 },
		Now: func() time.Duration { return 0 }, OnSynced: func(time.Duration) {}, Log: log, Metrics: metrics.NewSet(),
	})
	server, client := link.NewServer(link.Plaintext(), log), link.NewClient(link.Plaintext(), log)
	defer server.Close()
	defer client.Close()
	s.Register(server)
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.Run(running)
	if err := submitPatches(ctx, s, 80); err != nil {
		return nil, err
	}
	bytes := &series{name: "patch_fetch", unit: "bytes/s of a VM, in and out, per change a day", planX: plannedChangesPerDay}
	for _, changes := range []int{10, 20, 40, 80} {
		before := client.Stats()
		for v := range uint64(changes) {
			request := map[string]any{"a": v, "u": v + 1, "o": 0}
			if err := client.Call(ctx, address, confsync.MessageFetch, request, nil); err != nil {
				return nil, err
			}
		}
		after := client.Stats()
		bytes.add(float64(changes), float64(after.BytesIn+after.BytesOut-before.BytesIn-before.BytesOut)/secondsPerDay)
	}
	return resultsOf(bytes), nil
}

// submitPatches submits n patches: the first declares the targets, each further
// one changes a target.
func submitPatches(ctx context.Context, s *confsync.Syncer, n int) error {
	base := syntheticConfig(20, 1, virtualAddress)
	first := config.Diff(config.Empty(), base)
	for i := range n {
		patch, err := oneTargetPatch(base, i)
		if err != nil {
			return err
		}
		patch.BaseVersion = uint64(i)
		if i == 0 {
			patch.Operations = first
		}
		for attempt := 0; ; attempt++ {
			if _, err = s.Submit(ctx, patch); err == nil {
				break
			}
			if attempt == 20 {
				return err
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
