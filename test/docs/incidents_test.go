package docs

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/standin"
	"github.com/oriolefront/oriolefront/test/fleet"
)

// Guards against a page whose description of a store outage does not match the
// behaviour of the fleet: the symptoms, what still works, what is refused, and the
// recovery.
func TestStoreOutageAsOnThePage(t *testing.T) {
	f := fleet.Start(t, fleet.Options{Engines: 3, Entries: 3, PlainServices: 1})
	f.Control(f.TableAddress, standin.PlatformFaults{Down: true})
	for _, e := range f.Entries {
		fleet.Eventually(t, 15*time.Second, "the metrics show the outage", func() bool {
			text := getMetrics(t, e)
			return strings.Contains(text, `oriolefront_verdict{verdict="outage"} 1`) &&
				!strings.Contains(text, `oriolefront_store_breaker_state{service="table"} 0`)
		})
	}
	client := loadgen.NewClient([]string{f.Entries[0].CallerAddress}, fleet.AccountKey)
	r := client.Do(t.Context(), loadgen.Request{ID: "outage", Model: "catalogue", PromptTokens: 1000, MaxTokens: 5})
	assert.Assert(t, r.Complete && !r.Incorrect, "%+v", r)
	out, code := f.CtlExitCode(0, "-yes", "zone", "out", "bacau")
	assert.Equal(t, code, 1, out)
	assert.Assert(t, strings.Contains(out, "not_run"), out)
	assert.Equal(t, callPlainService(t, f, "during"), "503 not_run")

	f.Control(f.TableAddress, standin.PlatformFaults{})
	fleet.Eventually(t, 15*time.Second, "patches are accepted again", func() bool {
		_, code := f.CtlExitCode(0, "-yes", "zone", "out", "bacau")
		return code == 0
	})
	fleet.Eventually(t, 15*time.Second, "calls succeed again", func() bool {
		return strings.HasPrefix(callPlainService(t, f, "after"), "20")
	})
	fleet.Eventually(t, 15*time.Second, "no claim stays open", func() bool {
		return strings.Contains(getMetrics(t, f.Entries[0]), "oriolefront_claims_open 0")
	})
}

func getMetrics(t *testing.T, e *fleet.Entry) string {
	t.Helper()
	resp, err := http.Get("http://" + e.CallerAddress + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(text)
}

// callPlainService sends a non-idempotent call and returns its status and outcome.
func callPlainService(t *testing.T, f *fleet.Fleet, key string) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Entries[0].CallerAddress+"/services/lending/loans", strings.NewReader("atlas"))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+fleet.AccountKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("X-Outcome"))
}
