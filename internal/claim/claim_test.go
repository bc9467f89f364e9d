package claim

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

// faultyTable injects faults: each call takes the next of the modes in turn.
type faultyTable struct {
	*storefake.Table
	mu    sync.Mutex
	modes []string
	next  int
	late  sync.WaitGroup
}

const lateDelay = 700 * time.Millisecond

func (f *faultyTable) mode() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.modes) == 0 {
		return "ok"
	}
	f.next++
	return f.modes[f.next%len(f.modes)]
}

func (f *faultyTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	switch f.mode() {
	case "down":
		return 0, store.ErrUnavailable
	case "lost before":
		return 0, store.ErrUnknown
	case "lost after":
		if _, err := f.Table.Commit(ctx, txn); err != nil {
			return 0, err
		}
		return 0, store.ErrUnknown
	case "late": // takes effect after the client has read the rows back
		f.late.Go(func() {
			time.Sleep(lateDelay)
			f.Table.Commit(context.Background(), txn)
		})
		return 0, store.ErrUnknown
	case "slow":
		time.Sleep(300 * time.Millisecond)
	}
	return f.Table.Commit(ctx, txn)
}

func (f *faultyTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if f.mode() == "down" {
		return nil, store.ErrUnavailable
	}
	return f.Table.Get(ctx, keys...)
}

// step is one action of a generated history.
type step struct {
	Kind    string // "call", "burst" (several calls at once), "wait", "kill", "faults"
	VM, Key int
	Send    string // behaviour of the target
	Freeze  bool   // the VM is paused between its claim and the send
	Modes   []string
}

func drawSteps(rt *rapid.T) []step {
	modes := rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "ok", "down", "lost before", "lost after", "late", "slow"}), 1, 5)
	gen := rapid.Custom(func(rt *rapid.T) step {
		return step{
			Kind:   rapid.SampledFrom([]string{"call", "call", "call", "burst", "wait", "kill", "faults"}).Draw(rt, "kind"),
			VM:     rapid.IntRange(0, 2).Draw(rt, "vm"),
			Key:    rapid.IntRange(0, 2).Draw(rt, "key"),
			Send:   rapid.SampledFrom([]string{"ok", "ok", "slow", "not_run", "ran, unknown", "lost, unknown"}).Draw(rt, "send"),
			Freeze: rapid.IntRange(0, 5).Draw(rt, "freeze") == 0,
			Modes:  modes.Draw(rt, "modes"),
		}
	})
	return rapid.SliceOfN(gen, 1, 40).Draw(rt, "steps")
}

// vm is an Executor that can be killed.
type vm struct {
	executor *Executor
	ctx      context.Context
	kill     context.CancelFunc
}

// history executes steps and collects violations of the at-most-once protocol.
type history struct {
	table          *faultyTable
	objects        *storefake.Objects
	vms            [3]*vm
	kills          int
	mu             sync.Mutex
	runs           map[int]int    // by key
	result         map[int]string // by key
	unknownOutcome map[int]bool   // by key; true if the holder does not know the outcome
	violations     []string
	calls          sync.WaitGroup
}

func (h *history) start(i int) {
	ctx, kill := context.WithCancel(context.Background())
	c := New(Options{Table: h.table, Objects: h.objects, Holder: fmt.Sprint(i)})
	h.vms[i] = &vm{executor: c, ctx: ctx, kill: kill}
	go c.Run(ctx)
}

func (h *history) fail(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

const callTimeout = 500 * time.Millisecond

// call makes one call and checks its result against what actually ran.
func (h *history) call(v *vm, n int, s step) error {
	ctx, cancel := context.WithTimeout(v.ctx, callTimeout)
	defer cancel()
	ran := false
	id := fmt.Sprint("result ", n)
	answer, err := v.executor.Do(ctx, Call{
		Account: "a", Service: "s", IdempotencyKey: fmt.Sprint(s.Key), Fingerprint: "f",
		Send: func(_ context.Context, maySend func() error) (Response, error) {
			if s.Freeze {
				time.Sleep(2 * callTimeout)
			}
			if err := maySend(); err != nil {
				return Response{}, err
			}
			if deadline, _ := ctx.Deadline(); !time.Now().Before(deadline) {
				h.fail("call %d: sent after its deadline", n)
			}
			if s.Send == "not_run" {
				return Response{}, apierror.New(apierror.KindUnavailable, apierror.NotRun, "target", "")
			}
			if s.Send != "lost, unknown" {
				ran = true
				h.ran(s.Key, id)
			}
			if s.Send == "slow" {
				time.Sleep(callTimeout / 2)
			}
			if strings.HasSuffix(s.Send, "unknown") {
				h.mu.Lock()
				h.unknownOutcome[s.Key] = true
				h.mu.Unlock()
				return Response{}, apierror.New(apierror.KindOutcomeUnknown, apierror.OutcomeUnknown, "lost", "")
			}
			return Response{Status: 200, Body: []byte(id)}, nil
		},
	})
	if err != nil {
		if apierror.From(err).Outcome == apierror.NotRun && ran {
			h.fail("call %d: ran although it was answered not_run", n)
		}
		return err
	}
	h.mu.Lock()
	want := h.result[s.Key]
	h.mu.Unlock()
	if string(answer.Body) != want {
		h.fail("call %d: answer %q, ran %q", n, answer.Body, want)
	}
	return nil
}

func (h *history) ran(key int, id string) {
	h.mu.Lock()
	h.runs[key]++
	h.result[key] = id
	n := h.runs[key]
	h.mu.Unlock()
	if n > 1 {
		h.fail("key %d ran %d times", key, n)
	}
}

// execute runs the steps and returns the violations.
func execute(steps []step) []string {
	h := &history{table: &faultyTable{Table: storefake.NewTable()}, objects: storefake.NewObjects(),
		runs: map[int]int{}, result: map[int]string{}, unknownOutcome: map[int]bool{}}
	for i := range h.vms {
		h.start(i)
	}
	for n, s := range steps {
		v := h.vms[s.VM]
		switch s.Kind {
		case "call":
			h.calls.Go(func() { h.call(v, n, s) })
			time.Sleep(5 * time.Millisecond)
		case "burst":
			for range 4 {
				h.calls.Go(func() { h.call(v, n, s) })
			}
		case "wait":
			time.Sleep(callTimeout)
		case "kill":
			h.kills++
			v.kill()
			h.start(s.VM)
		case "faults":
			h.table.mu.Lock()
			h.table.modes = s.Modes
			h.table.mu.Unlock()
		}
	}
	h.calls.Wait()
	h.checkRecovery(len(steps))
	for _, v := range h.vms {
		v.kill()
	}
	h.table.late.Wait()
	return h.violations
}

// checkRecovery requires that, after the store has recovered, a call that did
// not run and whose holders are alive can be made.
func (h *history) checkRecovery(n int) {
	h.table.mu.Lock()
	h.table.modes = nil
	h.table.mu.Unlock()
	time.Sleep(5 * time.Second)
	for key := range 3 {
		err := h.call(h.vms[key], n, step{Key: key, Send: "ok"})
		if err != nil && h.kills == 0 && h.runs[key] == 0 && !h.unknownOutcome[key] {
			h.fail("key %d did not run and cannot be claimed anew: %v", key, err)
		}
	}
	time.Sleep(time.Second) // outcomes are written in the background
	for i, v := range h.vms {
		if open := v.executor.Stats().Pending; open != 0 {
			h.fail("vm %d: %d calls are still open", i, open)
		}
	}
}

// Guards against a call that runs twice, a call reported as not run that ran, a
// retry that gets a different response, and a claim that blocks its key forever,
// in any order of calls, store faults, late writes, and paused or killed VMs.
func TestProtocol(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = execute(steps) })
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
}

// startExecutor returns a running Executor with its table and object store.
func startExecutor(t *testing.T) (*Executor, *storefake.Table, *storefake.Objects) {
	table, objects := storefake.NewTable(), storefake.NewObjects()
	c := New(Options{Table: table, Objects: objects, Holder: "vm"})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	return c, table, objects
}

func do(c *Executor, key, fingerprint string, res Response) (CallResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.Do(ctx, Call{Account: "a", Service: "s", IdempotencyKey: key, Fingerprint: fingerprint,
		Send: func(_ context.Context, maySend func() error) (Response, error) { return res, maySend() }})
}

// Guards against a stored response that is lost or belongs to another call, for
// each way of storing it by size, and against one key for two requests.
func TestReplay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, objects := startExecutor(t)
		for _, size := range []int{0, 10, MaxInlineBody, MaxInlineBody + 1, MaxStoredBody, MaxStoredBody + 1} {
			key := fmt.Sprint(size)
			sent := Response{Status: 201, Header: http.Header{"X-A": {"1"}}, Body: make([]byte, size)}
			_, err := do(c, key, "f", sent)
			assert.NilError(t, err)
			assert.NilError(t, c.Flush(t.Context()))
			a, err := do(c, key, "f", Response{Status: 500})
			assert.NilError(t, err)
			assert.Assert(t, a.Replayed && a.Status == 201 && a.Header.Get("X-A") == "1")
			assert.Equal(t, a.BodyNotStored, size > MaxStoredBody)
			assert.Assert(t, a.BodyNotStored || len(a.Body) == size)
			_, err = do(c, key, "other", Response{Status: 500})
			assert.Assert(t, errors.Is(err, errKeyReused))
		}
		objects.SetDown(true)
		_, err := do(c, fmt.Sprint(MaxStoredBody), "f", Response{})
		assert.Equal(t, apierror.From(err).Outcome, apierror.OutcomeUnknown)
	})
}

// Guards against a separate transaction for each call: calls that arrive while a
// transaction is in flight must share the next one.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, table, _ := startExecutor(t)
		table.SetFaults(storefake.Faults{Delay: 30 * time.Millisecond})
		var group sync.WaitGroup
		for i := range 100 {
			group.Go(func() {
				_, err := do(c, fmt.Sprint(i), "f", Response{Status: 200})
				assert.Check(t, err)
			})
		}
		group.Wait()
		assert.NilError(t, c.Flush(t.Context()))
		assert.Assert(t, table.Counts().Writes <= 5, "%d transactions for 100 calls", table.Counts().Writes)
	})
}

// Guards against polling retries that exhaust this VM's share of the read rate.
func TestRetriesShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, table, _ := startExecutor(t)
		table.SetFaults(storefake.Faults{Delay: 20 * time.Millisecond})
		slow := func(_ context.Context, maySend func() error) (Response, error) {
			time.Sleep(2 * time.Second)
			return Response{Status: 200, Body: []byte("b")}, maySend()
		}
		var group sync.WaitGroup
		for i := range 200 {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				defer cancel()
				a, err := c.Do(ctx, Call{IdempotencyKey: fmt.Sprint(i % 50), Send: slow})
				assert.Check(t, err)
				assert.Check(t, string(a.Body) == "b")
			})
		}
		group.Wait()
		reads := table.Counts().Reads
		assert.Assert(t, reads <= 200, "%d reads for 150 repeats that wait for 2 s", reads)
		assert.NilError(t, c.Flush(t.Context()))
	})
}

// Guards against deletion of rows before their expiry and against a table that
// grows without bound.
func TestDeleteExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, table, objects := startExecutor(t)
		_, err := do(c, "large", "f", Response{Status: 200, Body: make([]byte, MaxInlineBody+1)})
		assert.NilError(t, err)
		assert.NilError(t, c.Flush(t.Context()))
		rows, _ := table.Scan(t.Context(), rowPrefix, "", 9)
		kept, _ := decodeRow(rows[0].Value)
		time.Sleep(TTL)
		_, err = do(c, "young", "f", Response{Status: 200})
		assert.NilError(t, err)
		time.Sleep(2 * expiryMargin)
		next, err := c.DeleteExpired(t.Context(), "")
		assert.NilError(t, err)
		assert.Equal(t, next, "")
		rows, _ = table.Scan(t.Context(), rowPrefix, "", 9)
		assert.Equal(t, len(rows), 1)
		_, err = objects.Get(t.Context(), kept.Response.ObjectName)
		assert.ErrorIs(t, err, store.ErrObjectNotFound)
	})
}

// Guards against rows that crash the decoder or are accepted with an unknown
// state.
func FuzzDecodeRow(f *testing.F) {
	f.Add(row{State: running, Nonce: "n"}.encode())
	f.Add(row{State: done, Nonce: "n", Response: storedResponse{Status: 200, Body: []byte("b")}}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeRow(data)
		if err != nil {
			return
		}
		again, err := decodeRow(r.encode())
		assert.NilError(t, err)
		assert.Equal(t, again.State, r.State)
		assert.Equal(t, again.Nonce, r.Nonce)
	})
}
