package confsync

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

var ctx = context.Background()

// Guards against an accepted patch that does not propagate because the store goes
// down right after it was committed.
func TestPropagationWhileStoreIsDown(t *testing.T) {
	f := newFleet(t)
	vms := []*vm{f.add(f.fake), f.add(f.fake), f.add(f.fake)}
	vms[0].submitPatches(1)
	f.run(vms...)
	f.await(vms[0].Head(), vms...)
	f.fake.SetFaults(storefake.Faults{LoseResponse: func(store.Txn) bool {
		go f.fake.SetFaults(storefake.Faults{Down: true})
		return false
	}})
	started := time.Now()
	vms[0].submitPatches(1)
	f.await(Head{Version: 2, Hash: vms[0].Head().Hash}, vms...)
	t.Logf("active on 3 VMs after %v with heartbeats each 10 ms", time.Since(started))
	assert.Assert(t, time.Since(started) < 3*time.Second)
	var exported bytes.Buffer
	vms[1].options.Metrics.WritePrometheus(&exported)
	assert.Assert(t, bytes.Contains(exported.Bytes(), []byte("oriolefront_config_spread_seconds_count 2")), exported.String())
	_, err := vms[1].Submit(ctx, zonePatch("x", 2, "a", "b"))
	assert.ErrorContains(t, err, "not_run")
}

// Guards against a start with an older configuration than the highest known
// version, and against a VM that is ready without a configuration.
func TestStartUp(t *testing.T) {
	t.Run("empty store", func(t *testing.T) {
		f := newFleet(t)
		v := f.add(f.fake)
		assert.ErrorContains(t, v.Ready(), "no configuration yet")
		assert.NilError(t, v.start(ctx))
		f.await(Head{}, v)
	})
	t.Run("no source", func(t *testing.T) {
		f := newFleet(t)
		f.fake.SetFaults(storefake.Faults{Down: true})
		v, other := f.add(f.fake), f.add(f.fake)
		assert.Assert(t, v.start(ctx) != nil)
		assert.ErrorContains(t, v.Ready(), "table service is unavailable")
		assert.ErrorContains(t, v.Ready(), "no peer answered with a version")
		assert.Assert(t, v.holder.Current() == nil && other.holder.Current() == nil)
	})
	t.Run("highest of peers while the store is down", func(t *testing.T) {
		f := newFleet(t)
		old, newest := f.add(f.fake), f.add(f.fake)
		newest.submitPatches(2)
		assert.NilError(t, old.start(ctx))
		newest.submitPatches(3)
		f.fake.SetFaults(storefake.Faults{Down: true})
		v := f.add(f.fake)
		assert.NilError(t, v.start(ctx))
		f.await(newest.Head(), v)
	})
	t.Run("store knows a higher version than can be fetched", func(t *testing.T) {
		f := newFleet(t)
		peer, newest := f.add(f.fake), f.add(f.fake)
		newest.submitPatches(1)
		assert.NilError(t, peer.start(ctx))
		newest.submitPatches(1)
		newest.partitioned.Store(true)
		_, err := f.fake.Commit(ctx, store.Txn{Ops: []store.Op{{Key: patchKey(2), Delete: true}}})
		assert.NilError(t, err)
		v := f.add(f.fake)
		assert.Assert(t, v.start(ctx) != nil)
		assert.ErrorContains(t, v.Ready(), "version 2 has no source that verifies")
		newest.partitioned.Store(false)
		assert.NilError(t, v.start(ctx))
		f.await(newest.Head(), v)
	})
}

// Guards against a VM that cannot catch up after compaction, from the store or
// from a peer, and against messages larger than maxMessageBytes.
func TestCatchUpAfterCompaction(t *testing.T) {
	f := newFleet(t)
	v, lagging := f.add(f.fake), f.add(f.fake)
	assert.NilError(t, lagging.start(ctx))
	for i := range 7 {
		v.submitPatches(50)
		for range 4 {
			v.poll(ctx)
		}
		if i == 0 {
			assert.Assert(t, f.record(1) != nil)
		}
	}
	big := zonePatch("big", v.Head().Version, "big", "x")
	big.Operations[0].Value = fmt.Appendf(nil, `{"region":"%s"}`, bytes.Repeat([]byte("x"), 3*maxChunkBytes))
	_, err := v.Submit(ctx, big)
	assert.NilError(t, err)
	assert.Equal(t, string(f.record(200)), "", "patches before the last two snapshots are kept")
	assert.Assert(t, f.record(201) != nil, "a patch that only one snapshot replaces was deleted")
	_, err = f.objects.Get(ctx, objectName(100))
	assert.ErrorIs(t, err, store.ErrObjectNotFound)

	lagging.partitioned.Store(true)
	lagging.poll(ctx)
	f.await(v.Head(), lagging)
	late := f.add(f.fake)
	f.fake.SetFaults(storefake.Faults{Down: true})
	assert.NilError(t, late.start(ctx))
	f.await(v.Head(), late)
	assert.Assert(t, bytes.Equal(encode(late.holder.Current().Document()), encode(v.holder.Current().Document())))
	assert.Assert(t, f.maxReply > maxChunkBytes && f.maxReply <= maxMessageBytes, "largest message has %d bytes", f.maxReply)
}

// Guards against activation of a configuration that does not verify: records
// modified in the store or by a peer, and versions that a peer made up.
func TestRejectsUnverifiableUpdates(t *testing.T) {
	f := newFleet(t)
	v, reader := f.add(f.fake), f.add(f.fake)
	v.submitPatches(1)
	assert.NilError(t, reader.start(ctx))
	v.submitPatches(1)
	original := f.record(2)
	forge := func(value []byte) {
		_, err := f.fake.Commit(ctx, store.Txn{Ops: []store.Op{{Key: patchKey(2), Value: value}}})
		assert.NilError(t, err)
	}
	forge(bytes.Replace(original, []byte(`"r1"`), []byte(`"rX"`), 1))
	f.corrupt = func(r *fetchReply) { r.Data = bytes.Replace(r.Data, []byte(`"r1"`), []byte(`"rX"`), 1) }
	v.sendHeartbeat()
	reader.poll(ctx)
	assert.Equal(t, reader.Head().Version, uint64(1))
	assert.Equal(t, reader.rejected.Get(), uint64(3)) // the peer, the store, the store from the beginning
	invented, err := msgpack.Marshal(Head{Version: 9, Hash: v.Head().Hash})
	assert.NilError(t, err)
	reader.Attachment().Consume(membership.Instance{Address: v.address}, invented)
	reads := f.fake.Counts().Reads
	reader.advanceFromPeers(ctx)
	assert.Equal(t, reader.Head().Version, uint64(1))
	assert.Equal(t, f.fake.Counts().Reads, reads, "each heartbeat of a faulty peer costs the store reads")
	assert.NilError(t, reader.Ready())
	reader.laggingSince = time.Now().Add(-maxLag)
	reader.poll(ctx)
	assert.ErrorContains(t, reader.Ready(), "version 2 has no source that verifies")
	forge(original)
	reader.poll(ctx)
	f.await(v.Head(), reader)
}

// Guards against a VM that stays ready with a configuration that diverges from
// the store, and against one that does not take the store's as soon as it can.
func TestDivergence(t *testing.T) {
	f := newFleet(t)
	v, diverged := f.add(f.fake), f.add(f.fake)
	v.submitPatches(1)
	record, next, err := config.Accept(config.Empty(), zonePatch("other", 0, "z", "r"), time.Now())
	assert.NilError(t, err)
	diverged.activateAccepted(ctx, config.Empty(), record, next)
	diverged.partitioned.Store(true)
	original := f.record(1)
	_, err = f.fake.Commit(ctx, store.Txn{Ops: []store.Op{{Key: patchKey(1), Delete: true}}})
	assert.NilError(t, err)
	diverged.poll(ctx)
	assert.ErrorContains(t, diverged.Ready(), "hash of version 1")
	_, err = f.fake.Commit(ctx, store.Txn{Ops: []store.Op{{Key: patchKey(1), Value: original}}})
	assert.NilError(t, err)
	diverged.poll(ctx)
	f.await(v.Head(), diverged)
	v.submitPatches(1)
	diverged.poll(ctx)
	f.await(v.Head(), diverged)
}

// Guards against more than 100 polls per second of the whole fleet.
func TestPollInterval(t *testing.T) {
	for _, seats := range []int{1, 9, 100, 590} {
		s := &Syncer{options: Options{HeldSeats: func() int { return seats }}}
		for range 100 {
			assert.Assert(t, float64(seats)/s.interval().Seconds() <= readsPerSecond)
		}
	}
}

func FuzzPeerData(f *testing.F) {
	head, err := msgpack.Marshal(Head{Version: 3, Hash: "ab"})
	assert.NilError(f, err)
	records, err := msgpack.Marshal(bundle{Records: [][]byte{[]byte(`{"version":1,"patch":{"id":"a","operations":[]}}`)}})
	assert.NilError(f, err)
	f.Add(head)
	f.Add(records)
	target := Head{Version: 1, Hash: config.ChainHash("", []byte("x"))}
	f.Fuzz(func(t *testing.T, data []byte) {
		if h, err := decodeHead(data); err == nil {
			assert.NilError(t, h.check())
		}
		if b, err := decodeBundle(data); err == nil {
			_, err := verify(config.Empty(), b, target)
			assert.Assert(t, err != nil)
		}
		decodeRow(store.Row{Revision: 1, Value: data}, &Head{})
		(&Syncer{}).serveFetch(ctx, data)
	})
}
