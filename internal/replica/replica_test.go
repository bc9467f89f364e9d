package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a replica that reverts to older records, or that misses changes
// because it applied a delta after a gap.
func TestApply(t *testing.T) {
	c := New("t")
	changed, fits := c.Apply(Delta{Table: "t", From: 0, To: 5, Records: []Record{{Key: "a", Version: 5}}})
	assert.Assert(t, fits)
	assert.Equal(t, len(changed), 1)
	_, fits = c.Apply(Delta{Table: "t", From: 7, To: 9})
	assert.Assert(t, !fits)
	assert.Equal(t, c.Position(), uint64(5))
	changed, fits = c.Apply(Delta{Table: "t", From: 0, To: 3, Records: []Record{{Key: "a", Version: 3, Deleted: true}}})
	assert.Assert(t, fits)
	assert.Equal(t, len(changed), 0)
	assert.Equal(t, c.Position(), uint64(5))
}

// Guards against rows that remain although a listing lacks them, and against a
// stale listing that is applied.
func TestReplace(t *testing.T) {
	c := New("t")
	c.Replace([]Record{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, 4)
	changed, fits := c.Replace([]Record{{Key: "b", Version: 2}}, 6)
	assert.Assert(t, fits)
	assert.DeepEqual(t, changed, []Record{{Key: "a", Version: 6, Deleted: true}})
	_, fits = c.Replace(nil, 5)
	assert.Assert(t, !fits)
	assert.Equal(t, len(c.Rows()), 1)
}

// Guards against replicas that differ after they have received the same changes
// in different ways: in deltas from any version, twice, or from each other.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origin, other := New("t"), New("t")
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for version := uint64(1); version <= uint64(steps); version++ {
			r := Record{Key: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), Version: version, Deleted: rapid.Bool().Draw(t, "removed")}
			origin.Apply(Delta{From: version - 1, To: version, Records: []Record{r}})
			if rapid.Bool().Draw(t, "fetch") {
				other.Apply(origin.ChangesSince(rapid.Uint64Range(0, other.Position()).Draw(t, "from")))
			}
		}
		other.Apply(origin.ChangesSince(other.Position()))
		assert.DeepEqual(t, other.Rows(), origin.Rows())
		assert.Equal(t, other.Position(), origin.Position())
	})
}

// Guards against a deleted row that stays in use on a stale replica. A VM that has
// just started has only a listing, which does not show earlier deletions; a VM that
// still has the row requests changes from it.
func TestListedReplicaPropagatesDeletions(t *testing.T) {
	stale := New("t")
	stale.Apply(Delta{To: 5, Records: []Record{{Key: "left", Value: []byte("x"), Version: 3}, {Key: "stays", Value: []byte("y"), Version: 4}}})
	fresh := New("t")
	fresh.Replace([]Record{{Key: "stays", Value: []byte("y"), Version: 4}, {Key: "new", Value: []byte("z"), Version: 7}}, 8)

	changed, fits := stale.Apply(fresh.ChangesSince(stale.Position()))
	assert.Assert(t, fits)
	assert.Equal(t, len(changed), 2) // "left" is deleted, "new" is added
	assert.DeepEqual(t, stale.Rows(), fresh.Rows())

	// stale can pass on the deletion to others.
	third := New("t")
	third.Apply(Delta{To: 5, Records: []Record{{Key: "left", Value: []byte("x"), Version: 3}, {Key: "stays", Value: []byte("y"), Version: 4}}})
	third.Apply(stale.ChangesSince(third.Position()))
	assert.DeepEqual(t, third.Rows(), fresh.Rows())
}
