package standin_test

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/standin"
)

func startEngine(t *testing.T) (client *engine.HTTPClient, address string) {
	e := standin.NewEngine(standin.EngineOptions{KVTokens: 10_000, PrefillTokensPerSecond: 100_000, DecodeTokensPerSecond: 100, MaxRunning: 4})
	go e.Run(t.Context())
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.CloseClientConnections)
	address = strings.TrimPrefix(server.URL, "http://")
	return engine.NewHTTPClient(address, engine.NewTransport()), address
}

func start(attempt, options string) engine.StartRequest {
	prompt := strings.Repeat("p", 5000)
	return engine.StartRequest{Attempt: attempt, Path: "/v1/completions",
		Body: []byte(`{"prompt":"` + prompt + `","max_tokens":200,"request_id":"` + attempt + `"` + options + `}`)}
}

// Guards against a fake engine that produces output without the KV cache that it
// imports: tests would then not detect an export that is deleted too early.
func TestImportsMustExist(t *testing.T) {
	first, address := startEngine(t)
	second, _ := startEngine(t)
	export, err := first.Export(t.Context(), start("0.1.1.1", `,"prompt_from":0,"prompt_to":400`))
	assert.NilError(t, err)
	assert.Equal(t, export.KVTokens, 400)

	imports := func(handle string) string {
		return `,"prompt_from":400,"prompt_to":2147483647,"kv_imports":[{"address":"` + address + `","handle":"` + handle + `"}]`
	}
	_, err = second.Start(t.Context(), start("0.1.1.2", imports("kv-missing")))
	assert.ErrorIs(t, err, engine.ErrNotRun)
	inventory, err := second.Inventory(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(inventory.Attempts), 0, "the engine kept an attempt that it had reported as not run")

	stream, err := second.Start(t.Context(), start("0.1.1.3", imports(export.Handle)))
	assert.NilError(t, err)
	defer stream.Close()
	assert.Equal(t, stream.PromptTokens(), 600) // 5002 bytes are 1000 tokens
	_, err = stream.Next()
	assert.NilError(t, err)
	assert.NilError(t, first.DeleteExport(t.Context(), export.Handle))
	for err == nil {
		_, err = stream.Next()
	}
	assert.Assert(t, errors.Is(err, engine.ErrInterrupted), "%v", err)
}
