package standin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/store"
)

// Guards against a restore that keeps later writes, that works only once, or that
// succeeds without a backup.
func TestTableRestore(t *testing.T) {
	table := NewTable()
	server := httptest.NewServer(table.Handler())
	defer server.Close()
	post := func(path string) int {
		response, err := http.Post(server.URL+path, "", nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	write := func(value string) uint64 {
		revision, err := table.Underlying().Commit(t.Context(), store.Txn{Ops: []store.Op{{Key: "a", Value: []byte(value)}}})
		assert.NilError(t, err)
		return revision
	}
	assert.Equal(t, post("/restore"), http.StatusConflict)
	first := write("first")
	assert.Equal(t, post("/backup"), http.StatusOK)
	lost := write("lost")
	for range 2 {
		assert.Equal(t, post("/restore"), http.StatusOK)
		rows, err := table.Underlying().Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Equal(t, string(rows[0].Value), "first")
		assert.Equal(t, rows[0].Revision, first)
		assert.Equal(t, write("again"), lost, "revisions are assigned again")
	}
}
