package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/upstream"
)

// Guards against blaming a target's crash for an attempt that this VM or its caller ended, that
// ran into its deadline, or that was answered.
func TestConnectionBroke(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{nil, false},
		{io.ErrUnexpectedEOF, true},
		{&upstream.Error{MaybeSent: true, Cause: io.EOF}, true},
		{&upstream.Error{MaybeSent: true, Cause: &net.OpError{Op: "read", Err: syscall.ECONNRESET}}, true},
		{&upstream.Error{MaybeSent: true, Cause: context.DeadlineExceeded}, false},
		{&upstream.Error{MaybeSent: true, Cause: errTookOver}, false},
		{errors.Join(io.ErrUnexpectedEOF, errWentOn), false},
		{errors.Join(net.ErrClosed, errQuarantined), false},
		{errors.Join(io.ErrUnexpectedEOF, context.Canceled), false},
		{errors.New("success response without a signature"), false},
	} {
		assert.Equal(t, connectionBroke(c.err), c.want, "%v", c.err)
	}
}

// Guards against a lost packet that is taken for a crash, against a probe for each of the
// attempts that break together, and against an old probe that hides a crash.
func TestCrashProbes(t *testing.T) {
	var calls atomic.Int32
	target := &topology.Target{ID: "i-1"}
	first := errors.New("first")
	connect := func(results ...error) func(string) bool {
		calls.Store(0)
		return func(string) bool {
			time.Sleep(time.Millisecond)
			return results[calls.Add(1)-1] == nil
		}
	}
	lost := connect(first, nil)
	assert.Assert(t, (&crashProbes{}).accepts(target, lost))

	probes := &crashProbes{}
	refused := connect(first, first)
	var wait sync.WaitGroup
	for range 20 {
		wait.Go(func() { assert.Check(t, !probes.accepts(target, refused)) })
	}
	wait.Wait()
	assert.Equal(t, int(calls.Load()), 2)
	time.Sleep(crashProbeTTL)
	assert.Assert(t, probes.accepts(target, connect(error(nil))))
}
