package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/entry"
	"github.com/oriolefront/oriolefront/internal/settings"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/tcp"
)

// EntrySettings is the type that Options.ModifySettings receives.
type EntrySettings = settings.Settings

// Entry is a running entry process.
type Entry struct {
	Settings *settings.Settings
	Process  *entry.Process

	stop    context.CancelFunc
	ended   chan struct{}
	err     error // of process.Run, valid once ended is closed
	stopped atomic.Bool
}

// AddEntry starts one more entry process, in the zone with index i modulo the
// number of zones.
func (f *Fleet) AddEntry(i int) (*Entry, error) {
	s, err := f.entrySettings(i)
	if err != nil {
		return nil, err
	}
	return f.StartEntry(s)
}

// StartEntry starts an entry process with the given settings.
func (f *Fleet) StartEntry(s *settings.Settings) (*Entry, error) {
	process, err := entry.New(s, f.Options.Log.With("vm", s.Listen.Callers))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(f.ctx)
	e := &Entry{Settings: s, Process: process, stop: stop, ended: make(chan struct{})}
	f.VMs.Register(store.VM{Address: s.VM.Address, Peer: s.Listen.PeerAddress(), Zone: s.VM.Zone, State: "live"})
	go func() {
		e.err = process.Run(ctx)
		close(e.ended)
	}()
	f.Entries = append(f.Entries, e)
	return e, nil
}

func (f *Fleet) entrySettings(i int) (*settings.Settings, error) {
	var addresses [3]string
	for j := range addresses {
		address, err := tcp.ReserveLoopbackAddress()
		if err != nil {
			return nil, err
		}
		addresses[j] = address
	}
	s := settings.Defaults()
	s.Limits.SetMemoryDefaults()
	s.VM.Address = "127.0.0.1"
	s.VM.Zone = f.Options.Zones[i%len(f.Options.Zones)]
	s.Listen = settings.Listen{Callers: addresses[0], Operators: addresses[1], Peers: addresses[2]}
	s.Platform = settings.Platform{
		Table:   "http://" + f.tableAddress,
		Objects: "http://" + f.objectsAddress,
		VMs:     "http://" + f.vmsAddress,
	}
	s.Keys = settings.Keys{Resume: f.resumeKey, Operators: map[string]string{"lab": auth.KeyHash(OperatorKey)}}
	s.Peers.Plaintext = true
	s.Limits.DrainDelay = 0
	if f.Options.ModifySettings != nil {
		f.Options.ModifySettings(i, s)
	}
	return s, nil
}

// Stop shuts the process down gracefully and waits until it has ended.
func (e *Entry) Stop(ctx context.Context) error {
	if e.stopped.Swap(true) {
		return nil
	}
	e.stop()
	select {
	case <-e.ended:
		return e.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stopped reports whether the process was stopped or aborted.
func (e *Entry) Stopped() bool { return e.stopped.Load() }

// Abort ends the process immediately, to simulate a crash.
func (e *Entry) Abort() {
	e.stopped.Store(true)
	e.Process.Abort()
	e.stop()
}

// AwaitReady waits until the process accepts new requests.
func (e *Entry) AwaitReady(ctx context.Context, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	reason := "no answer"
	for time.Now().Before(deadline) && ctx.Err() == nil {
		resp, err := http.Get("http://" + e.Settings.Listen.Callers + "/readyz")
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			reason = string(text)
		}
		select {
		case <-e.ended:
			return fmt.Errorf("entry process %s ended: %w", e.Settings.Listen.Callers, e.err)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("entry process %s is not ready: %s", e.Settings.Listen.Callers, reason)
}

func (f *Fleet) submitInitialConfig() error {
	return f.Submit(f.ctx, config.Diff(config.Empty(), f.Config()))
}

// Submit submits operations as one patch against the newest version. It retries
// with a new id if another patch was accepted first or an entry process does not
// respond.
func (f *Fleet) Submit(ctx context.Context, operations []config.Operation) error {
	id := fmt.Sprintf("lab-%x", randomBytes(8))
	var err error
	for attempt := range 100 {
		if len(f.Entries) == 0 {
			return errNoEntry
		}
		e := f.Entries[attempt%len(f.Entries)]
		if e.stopped.Load() {
			continue
		}
		var retry bool
		if retry, err = e.submit(ctx, config.Patch{ID: id, Submitter: "lab", Operations: operations}); !retry {
			return err
		}
		id = fmt.Sprintf("lab-%x", randomBytes(8))
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

// submit submits a patch once. retry is false if the patch was accepted, is
// invalid or is forbidden.
func (e *Entry) submit(ctx context.Context, p config.Patch) (retry bool, err error) {
	current := e.Process.Config()
	if current != nil {
		p.BaseVersion = current.Version
	}
	body, err := json.Marshal(p)
	if err != nil {
		return false, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Settings.Listen.Operators+"/config/patches", bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return true, err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode < 300 {
		return false, nil
	}
	err = errors.New(string(text))
	return resp.StatusCode != http.StatusBadRequest && resp.StatusCode != http.StatusForbidden, err
}

// PutOperation returns the operation that puts one object.
func PutOperation(key string, object any) (config.Operation, error) {
	value, err := json.Marshal(object)
	return config.Operation{Action: config.Put, Key: key, Value: value}, err
}
