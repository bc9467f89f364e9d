package forward

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/placement"
	"github.com/oriolefront/oriolefront/internal/tcp"
)

// Guards against memory of helpers that stays reserved while the engine that answers is dead:
// its attempt is not given up before another target has the request.
func TestMemoryIsReleasedWhenTheEngineIsDead(t *testing.T) {
	for name, c := range map[string]struct {
		dead, goesOn, released bool
	}{
		"dead":                 {dead: true, released: true},
		"reachable again":      {},
		"goes on":              {dead: true, goesOn: true},
		"goes on when reached": {goesOn: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			targets := targetsNamed("engines", "first", "helper")
			var helperPaths func() []string
			targets[0].Address, _ = recordingTarget(t, "Content-Length: 2")
			targets[1].Address, helperPaths = recordingTarget(t, "Content-Length: 2")
			h := newNoticesHandler(targets...)
			r, err := h.reserve(t.Context(), newNoticesCall("engines", 30_000), &placement.Plan{Target: targets[0], Helpers: targets[1:], ReserveTokens: 100})
			assert.NilError(t, err)
			if c.dead {
				targets[0].Address, err = tcp.ReserveLoopbackAddress()
				assert.NilError(t, err)
			}
			r.suspend()
			if c.goesOn {
				time.Sleep(500 * time.Millisecond)
				r.resume()
			}
			time.Sleep(maxSuspension + time.Second)
			assert.Equal(t, slices.Contains(helperPaths(), "/release"), c.released, "%q", helperPaths())
			if !c.released {
				assert.Assert(t, len(helperPaths()) >= 2, "not renewed: %q", helperPaths())
			}
			r.release()
			r.release()
		})
	}
}
