package topology

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testView() *View {
	config := &Config{
		Routes: []Route{
			{Name: "short", Host: "a", PathPrefix: "/x/"},
			{Name: "long", Host: "a", PathPrefix: "/x/y/"},
		},
		Services: []Service{{Name: "s"}},
		Accounts: []Account{{Name: "anna", Keys: []string{"k1", "k2"}}},
	}
	targets := []*Target{
		{ID: "1", Service: "s", Zone: "in"}, {ID: "2", Service: "s", Zone: "out"}, {ID: "3", Service: "s", Zone: "in", Draining: true},
	}
	return NewView(config, targets, map[string]bool{"out": true})
}

// Guards against routing by a shorter prefix, or by a prefix that the path does
// not fully match.
func TestRouteByLongestPrefix(t *testing.T) {
	v := testView()
	assert.Equal(t, v.Route("a", "/x/y/z").Name, "long")
	assert.Equal(t, v.Route("a", "/x/z").Name, "short")
	assert.Assert(t, v.Route("a", "/x") == nil)
	assert.Assert(t, v.Route("b", "/x/y/") == nil)
}

// Guards against new requests for a target that is draining or whose zone is out
// of service.
func TestUsableTargets(t *testing.T) {
	v := testView()
	assert.Equal(t, len(v.Usable("s")), 1)
	assert.Equal(t, v.Usable("s")[0].ID, "1")
	assert.Equal(t, v.Account("k2").Name, "anna")
	assert.Assert(t, v.Account("") == nil)
}

func TestCold(t *testing.T) {
	now := time.Now()
	assert.Assert(t, (&Target{ColdUntil: now.Add(time.Second)}).Cold(now))
	assert.Assert(t, !(&Target{}).Cold(now))
}
