package forward

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// Guards against a panic that closes a caller's connection without a trace in the log.
func TestPanicIsLogged(t *testing.T) {
	var log bytes.Buffer
	set := metrics.NewSet()
	h := &Handler{Log: slog.New(slog.NewTextHandler(&log, nil)), Metrics: NewMetrics(set)} // without a protocol
	defer func() {
		assert.Equal(t, recover(), http.ErrAbortHandler)
		assert.Assert(t, strings.Contains(log.String(), "request handler panicked"), log.String())
		var text bytes.Buffer
		set.WritePrometheus(&text)
		assert.Assert(t, strings.Contains(text.String(), "oriole_panics_total 1"))
	}()
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/x", nil))
}
