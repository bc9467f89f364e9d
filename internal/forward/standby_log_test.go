package forward

import (
	"bytes"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lockedBuffer is a buffer that several goroutines may write to.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Count(b.buffer.Bytes(), []byte(text))
}

// Guards against log lines that grow with the square of the requests at an unreachable target:
// each of its attempts reports it to all others.
func TestLogOfAnUnreachableTarget(t *testing.T) {
	t.Parallel()
	const calls = 40
	var all sync.WaitGroup
	all.Add(calls)
	first := newTestTarget(t, func(c *connection) {
		c.events(1, 1)
		all.Done()
		c.waitForClose()
	})
	v := newTestVM(t, 2, first)
	log := &lockedBuffer{}
	v.Log = slog.New(slog.NewTextHandler(log, nil))
	v.timeout = 6 * time.Second
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() { v.send(t.Context(), "/stream/x", fmt.Sprint("call-", i)) })
	}
	all.Wait()
	first.listener.Close()
	wait.Wait()
	lines := log.count("target silent")
	t.Logf("%d lines", lines)
	assert.Assert(t, lines >= calls && lines <= 2*calls, "%d lines for %d calls", lines, calls)
}
