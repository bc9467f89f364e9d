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

// EntrySettings are the settings of an entry process.
type EntrySettings = settings.Settings

// Entry is a running entry process.
type Entry struct {
	Settings *settings.Settings
	Process  *entry.Process

	stop    context.CancelFunc
	ended   chan struct{}
	err     error // of the process, valid once ended is closed
	stopped atomic.Bool
}

// AddEntry starts one more entry process. It is in zone number i, counted
// around.
func (l *Fleet) AddEntry(i int) (*Entry, error) {
	s, err := l.entrySettings(i)
	if err != nil {
		return nil, err
	}
	return l.StartEntry(s)
}

// StartEntry starts an entry process with given settings.
func (l *Fleet) StartEntry(s *settings.Settings) (*Entry, error) {
	process, err := entry.New(s, l.Options.Log.With("vm", s.Listen.Callers))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(l.ctx)
	e := &Entry{Settings: s, Process: process, stop: stop, ended: make(chan struct{})}
	l.VMs.Register(store.VM{Address: s.VM.Address, Peer: s.Listen.PeerAddress(), Zone: s.VM.Zone, State: "live"})
	go func() {
		e.err = process.Run(ctx)
		close(e.ended)
	}()
	l.Entries = append(l.Entries, e)
	return e, nil
}

func (l *Fleet) entrySettings(i int) (*settings.Settings, error) {
	var addresses [3]string
	for j := range addresses {
		address, err := tcp.ReserveLoopbackAddress()
		if err != nil {
			return nil, err
		}
		addresses[j] = address
	}
	s := settings.Defaults()
	s.VM.Address = "127.0.0.1"
	s.VM.Zone = l.Options.Zones[i%len(l.Options.Zones)]
	s.Listen = settings.Listen{Callers: addresses[0], Operators: addresses[1], Peers: addresses[2]}
	s.Platform = settings.Platform{
		Table:   "http://" + l.tableAddress,
		Objects: "http://" + l.objectsAddress,
		VMs:     "http://" + l.vmsAddress,
	}
	s.Keys = settings.Keys{Resume: l.resumeKey, Operators: map[string]string{"lab": auth.KeyHash(OperatorKey)}}
	s.Peers.Plaintext = true
	s.Limits.DrainDelay = 0
	if l.Options.ModifySettings != nil {
		l.Options.ModifySettings(i, s)
	}
	return s, nil
}

// Stop shuts the process down gracefully and waits for it.
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

// Stopped says whether the process was stopped or aborted.
func (e *Entry) Stopped() bool { return e.stopped.Load() }

// Abort ends the process at once, as a crash does.
func (e *Entry) Abort() {
	e.stopped.Store(true)
	e.Process.Abort()
	e.stop()
}

// AwaitReady waits until the process takes new requests.
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

func (l *Fleet) submitFirst() error {
	return l.Submit(l.ctx, config.Diff(config.Empty(), l.Config()))
}

// Submit sends operations as one patch against the newest version, and tries
// again when another patch was faster or an entry process does not answer.
func (l *Fleet) Submit(ctx context.Context, operations []config.Operation) error {
	id := fmt.Sprintf("lab-%x", randomBytes(8))
	var err error
	for try := range 100 {
		if len(l.Entries) == 0 {
			return errNoEntry
		}
		e := l.Entries[try%len(l.Entries)]
		if e.stopped.Load() {
			continue
		}
		var again bool
		if again, err = e.submit(ctx, config.Patch{ID: id, Submitter: "lab", Operations: operations}); !again {
			return err
		}
		id = fmt.Sprintf("lab-%x", randomBytes(8))
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

// submit sends a patch once. again says that the patch was not run.
func (e *Entry) submit(ctx context.Context, p config.Patch) (again bool, err error) {
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

// Put returns the operation that puts one object.
func Put(key string, object any) (config.Operation, error) {
	value, err := json.Marshal(object)
	return config.Operation{Action: config.Put, Key: key, Value: value}, err
}
