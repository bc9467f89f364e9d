package plain

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/config"
)

// Guards against an idempotent request that loses the response of a target which was silent for
// half of its time: the attempt is given up before another target has a response.
func TestPlainTargetSilentForHalfOfTheTime(t *testing.T) {
	t.Parallel()
	w := newTestFleet(t, 0, 0)
	cfg := *w.holder.Current()
	cfg.Version, cfg.Targets = 2, map[string]config.Target{}
	var requests atomic.Int32
	for i := range 2 {
		target := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if requests.Add(1) > 1 {
				w.Header().Set(HeaderOutcome, "not_run")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			time.Sleep(1200 * time.Millisecond)
			fmt.Fprint(w, "ok")
		}))
		cfg.Targets[fmt.Sprint("t", i)] = config.Target{Service: "lending", Zone: "a", MaxRunning: 10, Address: strings.TrimPrefix(target, "http://")}
	}
	cfg.ApplyDefaults()
	w.holder.PublishIfNewer(&cfg)
	vm := w.start(t, 1, func() error { return nil })
	r, err := send(vm.url, http.MethodGet, "", "a", 2*time.Second, "")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.Equal(t, r.body, "ok")
}
