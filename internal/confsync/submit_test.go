package confsync

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/store"
)

// Guards against acceptance of a patch by a VM without a quorum, which cannot
// propagate it, and against a retry that gets no verdict for lack of a quorum.
func TestNoQuorum(t *testing.T) {
	f := newFleet(t)
	v := f.add(f.fake)
	p := zonePatch("p", 0, "a", "r")
	f.noQuorum.Store(true)
	_, err := v.Submit(ctx, p)
	assert.ErrorContains(t, err, "more than half of the held seats")
	assert.ErrorContains(t, err, "not_run")
	assert.Equal(t, len(f.record(1)), 0)
	_, err = v.Lookup(ctx, "p")
	assert.ErrorContains(t, err, "not_found")
	f.noQuorum.Store(false)
	_, err = v.Submit(ctx, p)
	assert.NilError(t, err)
	f.noQuorum.Store(true)
	got, err := v.Submit(ctx, p)
	assert.NilError(t, err)
	assert.Assert(t, got.Result == Accepted && got.Repeated && got.Version == 1)
}

// nonAtomicTable is a table whose Get is not atomic: it reads the last key first
// and calls hook, once, before it reads the others.
type nonAtomicTable struct {
	store.Table
	hook func()
}

func (b *nonAtomicTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	last, err := b.Table.Get(ctx, keys[len(keys)-1])
	if err != nil {
		return nil, err
	}
	if hook := b.hook; hook != nil && len(keys) > 1 {
		b.hook = nil
		hook()
	}
	rows, err := b.Table.Get(ctx, keys...)
	if err == nil && len(keys) > 1 {
		rows[len(rows)-1] = last[0]
	}
	return rows, err
}

// Guards against refusal of a patch whose own transaction, sent by a killed VM,
// takes effect between the reads of the patch id and of the head.
func TestOwnPatchMovesTheHead(t *testing.T) {
	f := newFleet(t)
	killed := f.add(f.fake)
	p := zonePatch("p", 0, "a", "r")
	table := &nonAtomicTable{Table: f.fake, hook: func() {
		_, err := killed.Submit(ctx, p)
		assert.NilError(t, err)
	}}
	got, err := f.add(table).Submit(ctx, p)
	assert.NilError(t, err)
	assert.Equal(t, got.Result, Accepted, got.Reason)
}

// Guards against a refusal that does not name the conflicting keys.
func TestRefusalNamesConflicts(t *testing.T) {
	f := newFleet(t)
	v := f.add(f.fake)
	v.submitPatches(3) // zones z0, z1, z2
	p := zonePatch("p", 1, "z1", "mine")
	p.Operations = append(p.Operations, zonePatch("", 0, "z0", "mine").Operations...)
	got, err := v.Submit(ctx, p)
	assert.NilError(t, err)
	assert.Equal(t, got.Result, Refused)
	assert.Equal(t, got.Version, uint64(3))
	assert.DeepEqual(t, got.Conflicts, []string{"zone/z1"})
	assert.Equal(t, got.Remedy, "get version 3, compare, and submit against it with a new id")
	invalidPatch := config.Patch{ID: "bad id", BaseVersion: 3, Submitter: "ana"}
	_, err = v.Submit(ctx, invalidPatch)
	assert.ErrorContains(t, err, "invalid_request")
}
