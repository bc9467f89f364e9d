package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/config"
)

// Guards against a revoked key that stays valid because the key index is reused across
// versions, and against an index that is rebuilt when other objects change.
func TestKeyIndexFollowsAccounts(t *testing.T) {
	base := config.Empty()
	put := func(key, value string) {
		t.Helper()
		_, next, err := config.Accept(base, config.Patch{ID: "p", BaseVersion: base.Version, Submitter: "test",
			Operations: []config.Operation{{Action: config.Put, Key: key, Value: []byte(value)}}}, time.Now())
		assert.NilError(t, err)
		base = next
	}
	account := func(key string) string {
		return `{"contract":"standard","key_hashes":["` + auth.KeyHash(key) + `"]}`
	}
	g := &Gateway{}
	owns := func(key string) bool {
		_, ok := g.keysFor(base).Owner(&http.Request{Header: http.Header{"Authorization": {"Bearer " + key}}})
		return ok
	}
	put("contract/standard", `{"deadline":"1m"}`)
	put("account/library", account("old key"))
	assert.Check(t, owns("old key"))
	kept := g.keysFor(base)
	put("zone/iasi", `{"region":"ro-moldova"}`)
	assert.Check(t, g.keysFor(base) == kept)
	put("account/library", account("new key"))
	assert.Check(t, owns("new key") && !owns("old key"))
}
