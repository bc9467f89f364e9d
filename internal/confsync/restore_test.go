package confsync

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

// restoreStore makes the table come back from an outage as the copy.
func (f *fleet) restoreStore(c storefake.Copy) {
	f.fake.SetFaults(storefake.Faults{Down: true})
	f.fake.Restore(c)
	f.fake.SetFaults(storefake.Faults{})
}

// Guards against VMs that stop serving, go back to an older configuration, or
// accept no patch any more after the store has lost versions.
func TestRestoreOfTheStore(t *testing.T) {
	f := newFleet(t)
	vms := []*vm{f.add(f.fake), f.add(f.fake), f.add(f.fake)}
	vms[0].submitPatches(2)
	f.run(vms...)
	f.await(vms[0].Head(), vms...)
	before := f.fake.Copy()
	vms[0].submitPatches(2)
	newest := vms[0].Head()
	f.await(newest, vms...)
	stop := watchVersions(t, vms)
	defer stop()
	f.restoreStore(before)
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.await(newest, vms...)
	}
	got, err := vms[1].Submit(ctx, zonePatch("after", newest.Version, "a", "r"))
	assert.NilError(t, err)
	assert.Equal(t, got.Result, Accepted, got.Reason)
	f.await(Head{Version: newest.Version + 1, Hash: got.Hash}, vms...)
}

// Guards against the loss of an accepted version, and of the verdict on its patch,
// once the VMs that had it have ended.
func TestLostVersionsAreWrittenBack(t *testing.T) {
	f := newFleet(t)
	v := f.add(f.fake)
	before := f.fake.Copy()
	const lost = 2*maxRestoredRecords + 3
	v.submitPatches(lost)
	f.restoreStore(before)
	for range 3 {
		v.poll(ctx)
	}
	v.partitioned.Store(true)
	late := f.add(f.fake)
	assert.NilError(t, late.start(ctx))
	f.await(v.Head(), late)
	for base := range uint64(lost) {
		verdict, err := late.Submit(ctx, zonePatch(fmt.Sprint("g", base), base, fmt.Sprint("z", base%50), fmt.Sprint("r", base)))
		assert.NilError(t, err)
		assert.Assert(t, verdict.Result == Accepted && verdict.Repeated && verdict.Version == base+1, "%+v", verdict)
	}
}

// Guards against a number that is given to a second patch: a VM that did not have
// the lost version yet, but hears of it, accepts a patch against the one before.
func TestLostVersionIsNotAcceptedAgain(t *testing.T) {
	f := newFleet(t)
	newest, lagging := f.add(f.fake), f.add(f.fake)
	newest.submitPatches(1)
	assert.NilError(t, lagging.start(ctx))
	before := f.fake.Copy()
	newest.submitPatches(1)
	f.restoreStore(before)
	newest.sendHeartbeat()
	got, err := lagging.Submit(ctx, zonePatch("other", 1, "a", "r"))
	assert.NilError(t, err)
	assert.Equal(t, got.Result, Refused, "version 2 was accepted twice")
	f.await(newest.Head(), lagging)
}

// Guards against a VM that stays out of service, or keeps its own version, when
// the store has given the number to another patch.
func TestReassignedVersion(t *testing.T) {
	f := newFleet(t)
	cutOff, other := f.add(f.fake), f.add(f.fake)
	before := f.fake.Copy()
	cutOff.submitPatches(1)
	cutOff.partitioned.Store(true)
	f.restoreStore(before)
	_, err := other.Submit(ctx, zonePatch("other", 0, "a", "r"))
	assert.NilError(t, err)
	cutOff.poll(ctx)
	f.await(other.Head(), cutOff)
}

// Guards against a version that is accepted after the return of the store and does
// not reach a VM whose lost version has a higher number.
func TestReassignedLowerVersion(t *testing.T) {
	f := newFleet(t)
	cutOff, other := f.add(f.fake), f.add(f.fake)
	before := f.fake.Copy()
	cutOff.submitPatches(2)
	cutOff.partitioned.Store(true)
	f.restoreStore(before)
	_, err := other.Submit(ctx, zonePatch("other", 0, "a", "r"))
	assert.NilError(t, err)
	cutOff.poll(ctx)
	assert.NilError(t, cutOff.Ready())
	f.await(other.Head(), cutOff)
	cutOff.partitioned.Store(false)
	for range 3 {
		cutOff.submitPatches(1)
		cutOff.sendHeartbeat()
		other.poll(ctx)
		f.await(cutOff.Head(), other)
	}
}

// Guards against a VM that stays out of service for a version that it could not
// reach and that the store has lost meanwhile.
func TestReadyWithoutALostVersion(t *testing.T) {
	f := newFleet(t)
	newest, v := f.add(f.fake), f.add(f.fake)
	newest.submitPatches(1)
	assert.NilError(t, v.start(ctx))
	before := f.fake.Copy()
	newest.submitPatches(1)
	newest.partitioned.Store(true)
	_, err := f.fake.Commit(ctx, store.Txn{Ops: []store.Op{{Key: patchKey(2), Delete: true}}})
	assert.NilError(t, err)
	v.poll(ctx)
	v.laggingSince = time.Now().Add(-maxLag)
	v.poll(ctx)
	assert.ErrorContains(t, v.Ready(), "version 2 has no source that verifies")
	f.restoreStore(before)
	v.poll(ctx)
	assert.NilError(t, v.Ready())
}
