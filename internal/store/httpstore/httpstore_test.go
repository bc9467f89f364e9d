package httpstore

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/standin"
	"github.com/oriolefront/oriolefront/internal/store"
)

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

func insert(key string) store.Txn {
	return store.Txn{
		Conditions: []store.Condition{{Key: key}},
		Ops:        []store.Op{{Key: key, Value: []byte("v")}},
	}
}

// Guards against a wrong outcome of a commit, which would make callers send it
// twice or rely on a write that did not happen.
func TestCommitUnderEachFault(t *testing.T) {
	for _, c := range []struct {
		name    string
		faults  standin.PlatformFaults
		err     error
		written bool
	}{
		{"none", standin.PlatformFaults{}, nil, true},
		{"down", standin.PlatformFaults{Down: true}, store.ErrUnavailable, false},
		{"dropped", standin.PlatformFaults{Drop: true}, store.ErrUnknown, false},
		{"slow", standin.PlatformFaults{DelayMS: 400}, store.ErrUnknown, true},
		{"answer lost", standin.PlatformFaults{LoseResponseEvery: 1}, store.ErrUnknown, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			service := standin.NewTable()
			var contacts atomic.Int32
			server := httptest.NewServer(service.Handler())
			client := New(Options{TableURL: server.URL, CallTimeout: 200 * time.Millisecond,
				OnContact: func() { contacts.Add(1) }})
			service.SetFaults(c.faults)
			_, err := client.Table().Commit(t.Context(), insert("k"))
			assert.ErrorIs(t, err, c.err)
			assert.Equal(t, contacts.Load() > 0, c.err == nil)
			if errors.Is(c.err, store.ErrUnknown) {
				assert.Equal(t, service.Record().Writes, 1, "a commit with an unknown outcome was sent again")
			}
			server.Close() // returns when the service has finished all requests, including slow ones
			rows, err := service.Underlying().Get(t.Context(), "k")
			assert.NilError(t, err)
			assert.Equal(t, rows[0].Revision != 0, c.written)
		})
	}
}

// Guards against an unknown outcome for a commit that was never sent, and against
// calls to a service whose circuit breaker is open.
func TestNothingSent(t *testing.T) {
	service := standin.NewTable()
	server := httptest.NewServer(service.Handler())
	client := New(Options{TableURL: server.URL})
	_, err := client.Table().Commit(t.Context(), insert("a"))
	assert.NilError(t, err)
	_, err = client.Table().Commit(t.Context(), insert("a"))
	assert.ErrorIs(t, err, store.ErrConflict)
	service.SetFaults(standin.PlatformFaults{WritesPerSecond: 1, Down: true})
	for range failuresToOpen {
		_, err = client.Table().Commit(t.Context(), insert("b"))
		assert.ErrorIs(t, err, store.ErrUnavailable)
	}
	before := service.Record().Writes
	_, err = client.Table().Commit(t.Context(), insert("b"))
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Equal(t, service.Record().Writes, before)
	server.Close()
	_, err = New(Options{TableURL: server.URL}).Table().Commit(t.Context(), insert("b"))
	assert.ErrorIs(t, err, store.ErrUnavailable)
}

// Guards against more than one concurrent probe of a half-open breaker.
func TestBreakerLetsOneProbeThrough(t *testing.T) {
	b := &breaker{}
	for range failuresToOpen {
		b.record(failing, false)
	}
	ok, _ := b.allow()
	assert.Assert(t, !ok)
	time.Sleep(openDurationMin)
	var passed atomic.Int32
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			if ok, _ := b.allow(); ok {
				passed.Add(1)
			}
		})
	}
	group.Wait()
	assert.Equal(t, passed.Load(), int32(1))
	b.record(healthy, true)
	ok, probe := b.allow()
	assert.Assert(t, ok && !probe)
}

// Guards against a burst at the end of an outage: nine clients with more callers
// than the rate limits allow must stay below the limits in every second.
func TestRateLimitsAfterOutage(t *testing.T) {
	const clients, callers, outage = 9, 40, 2 * time.Second
	service := standin.NewTable()
	url := serve(t, service.Handler())
	ctx, cancel := context.WithTimeout(t.Context(), 9*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for range clients {
		client := New(Options{TableURL: url, Seats: clients})
		for i := range callers {
			group.Go(func() { loadTable(ctx, client.Table(), i%2 == 0) })
		}
	}
	time.Sleep(1500 * time.Millisecond)
	service.SetFaults(standin.PlatformFaults{Down: true})
	time.Sleep(outage)
	service.SetFaults(standin.PlatformFaults{})
	recovered := time.Now().Unix() + 1
	group.Wait()
	afterwards := 0
	for _, s := range service.Record().Seconds {
		assert.Assert(t, s.Reads <= FleetReadsPerSecond, "second %d: %d reads", s.Second, s.Reads)
		assert.Assert(t, s.Writes <= FleetWritesPerSecond, "second %d: %d writes", s.Second, s.Writes)
		if s.Second > recovered {
			afterwards = max(afterwards, s.Writes)
		}
	}
	assert.Assert(t, afterwards > FleetWritesPerSecond/2, "%d writes a second after the outage: the test did not load the store", afterwards)
}

// loadTable makes calls in a closed loop until ctx ends. It waits briefly after an
// error, so that rejected calls do not use up the CPU.
func loadTable(ctx context.Context, table store.Table, write bool) {
	for ctx.Err() == nil {
		var err error
		if write {
			_, err = table.Commit(ctx, store.Txn{Ops: []store.Op{{Key: "k"}}})
		} else {
			_, err = table.Get(ctx, "k")
		}
		if err != nil {
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against a lost response that makes an object call fail instead of being
// retried, and against a stale VM list.
func TestObjectsAndVMs(t *testing.T) {
	objects, vms := standin.NewObjects(), standin.NewVMList(100*time.Millisecond)
	client := New(Options{ObjectsURL: serve(t, objects.Handler()), VMsURL: serve(t, vms.Handler())})
	objects.SetFaults(standin.PlatformFaults{LoseResponseEvery: 2})
	for _, name := range []string{"a/b c", "d", "e"} {
		assert.NilError(t, client.Objects().Put(t.Context(), name, []byte(name)))
		data, err := client.Objects().Get(t.Context(), name)
		assert.NilError(t, err)
		assert.Equal(t, string(data), name)
	}
	assert.NilError(t, client.Objects().Delete(t.Context(), "d"))
	_, err := client.Objects().Get(t.Context(), "d")
	assert.ErrorIs(t, err, store.ErrObjectNotFound)
	vms.Register(store.VM{Peer: "127.0.0.1:1", State: store.VMLive})
	list, err := client.VMs(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	time.Sleep(150 * time.Millisecond)
	list, err = client.VMs(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
}

// Guards against malformed responses that crash a decoder or are accepted.
func FuzzDecodeAnswers(f *testing.F) {
	f.Add([]byte(`{"revision":1}`))
	f.Add([]byte(`{"rows":[{"key":"k","value":"dg==","revision":2}]}`))
	f.Add([]byte(`{"vms":[{"peer":"127.0.0.1:1","state":"live"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if revision, err := decodeRevision(data); err == nil && revision == 0 {
			t.Fatal("a commit without a revision was reported as written")
		}
		if vms, err := decodeVMs(data); err == nil {
			for _, vm := range vms {
				assert.Assert(t, vm.Peer != "")
			}
		}
		if rows, err := decodeRows(data); err == nil && checkRows(rows, []string{"k"}) == nil {
			assert.Equal(t, rows[0].Key, "k")
		}
	})
}
