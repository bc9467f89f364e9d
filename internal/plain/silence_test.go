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

// startTwoTargets starts a VM with two targets that share a handler, which gets the number of
// each request.
func startTwoTargets(t *testing.T, handle func(w http.ResponseWriter, r *http.Request, number int)) *instance {
	f := newTestFleet(t, 0, 0)
	cfg := *f.holder.Current()
	cfg.Version, cfg.Targets = 2, map[string]config.Target{}
	var requests atomic.Int32
	for i := range 2 {
		address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handle(w, r, int(requests.Add(1))) }))
		cfg.Targets[fmt.Sprint("t", i)] = config.Target{Service: "lending", Zone: "a", MaxRunning: 10, Address: strings.TrimPrefix(address, "http://")}
	}
	cfg.ApplyDefaults()
	f.holder.PublishIfNewer(&cfg)
	return f.start(t, 1, func() error { return nil })
}

// Guards against an idempotent request that loses the response of a target which was silent for
// half of its time: the attempt is given up before another target has a response.
func TestPlainTargetSilentForHalfOfTheTime(t *testing.T) {
	t.Parallel()
	vm := startTwoTargets(t, func(w http.ResponseWriter, r *http.Request, number int) {
		if number > 1 {
			w.Header().Set(HeaderOutcome, "not_run")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(1200 * time.Millisecond)
		fmt.Fprint(w, "ok")
	})
	r, err := send(vm.url, http.MethodGet, "", "a", 2*time.Second, "")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.Equal(t, r.body, "ok")
}

// Guards against a silent target that works on after another one has responded, and against a
// request that waits for the silent one.
func TestSilentPlainTargetIsCancelled(t *testing.T) {
	t.Parallel()
	cancelled := make(chan struct{})
	vm := startTwoTargets(t, func(w http.ResponseWriter, r *http.Request, number int) {
		if number > 1 {
			fmt.Fprint(w, "ok")
			return
		}
		<-r.Context().Done()
		close(cancelled)
	})
	r, err := send(vm.url, http.MethodGet, "", "a", time.Second, "")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusOK, r.body)
	select {
	case <-cancelled:
	case <-time.After(time.Second):
		t.Fatal("the silent target is still working a second after the response")
	}
}
