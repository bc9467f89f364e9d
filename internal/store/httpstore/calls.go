package httpstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/store"
)

// maxRowsBytes bounds the response to a read of the table or of the VM list.
const maxRowsBytes = 32 << 20

// Table returns a client of the table service.
func (c *Client) Table() store.Table { return table{c} }

// Objects returns a client of the object store.
func (c *Client) Objects() store.Objects { return objects{c} }

type table struct{ c *Client }

// Get implements store.Table.
func (t table) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	rows, err := t.read(ctx, "/get", store.GetRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	if err := checkRows(rows, keys); err != nil {
		return nil, err
	}
	return rows, nil
}

// checkRows checks that a response holds one row for each key, in order.
func checkRows(rows []store.Row, keys []string) error {
	if len(rows) != len(keys) {
		return merry.Prependf(store.ErrUnavailable, "answer holds %d rows for %d keys", len(rows), len(keys))
	}
	for i, key := range keys {
		if rows[i].Key != key {
			return merry.Prependf(store.ErrUnavailable, "answer holds row %q for key %q", rows[i].Key, key)
		}
	}
	return nil
}

// Scan implements store.Table.
func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	return t.read(ctx, "/scan", store.ScanRequest{Prefix: prefix, After: after, Limit: limit})
}

func (t table) read(ctx context.Context, path string, request any) ([]store.Row, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, merry.Prepend(store.ErrUnavailable, err.Error())
	}
	data, err := t.c.do(ctx, call{service: t.c.table, method: http.MethodPost, path: path, body: body, maxResponseBytes: maxRowsBytes})
	if err != nil {
		return nil, err
	}
	return decodeRows(data)
}

func decodeRows(data []byte) ([]store.Row, error) {
	var response store.RowsResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return nil, merry.Prepend(store.ErrUnavailable, "answer cannot be decoded: "+err.Error())
	}
	return response.Rows, nil
}

// Commit implements store.Table. It retries only after attempts that certainly
// wrote nothing.
func (t table) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, merry.Prepend(store.ErrUnavailable, err.Error())
	}
	data, err := t.c.do(ctx, call{service: t.c.table, method: http.MethodPost, path: "/commit", body: body, write: true, maxResponseBytes: maxErrorBodyBytes})
	if err != nil {
		return 0, err
	}
	return decodeRevision(data)
}

// decodeRevision decodes the response to a commit. If it is malformed, the outcome
// is unknown.
func decodeRevision(data []byte) (uint64, error) {
	var response store.CommitResponse
	err := json.Unmarshal(data, &response)
	if err != nil {
		return 0, merry.Prepend(store.ErrUnknown, err.Error())
	}
	if response.Revision == 0 {
		return 0, merry.Prepend(store.ErrUnknown, "answer without a revision")
	}
	return response.Revision, nil
}

type objects struct{ c *Client }

// Put implements store.Objects. Objects are immutable, so a put can be retried.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.c.do(ctx, o.call(http.MethodPut, name, data))
	return err
}

// Get implements store.Objects.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.c.do(ctx, o.call(http.MethodGet, name, nil))
}

// Delete implements store.Objects.
func (o objects) Delete(ctx context.Context, name string) error {
	_, err := o.c.do(ctx, o.call(http.MethodDelete, name, nil))
	return err
}

func (o objects) call(method, name string, body []byte) call {
	return call{
		service:          o.c.objects,
		method:           method,
		path:             "/objects/" + (&url.URL{Path: name}).EscapedPath(),
		body:             body,
		write:            method != http.MethodGet,
		repeatable:       true,
		maxResponseBytes: store.MaxObjectBytes,
	}
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]store.VM, error) {
	data, err := c.do(ctx, call{service: c.vms, method: http.MethodGet, path: "/vms", maxResponseBytes: maxRowsBytes})
	if err != nil {
		return nil, err
	}
	return decodeVMs(data)
}

func decodeVMs(data []byte) ([]store.VM, error) {
	var list store.VMList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, merry.Prepend(store.ErrUnavailable, "answer cannot be decoded: "+err.Error())
	}
	for _, vm := range list.VMs {
		if vm.Peer == "" || (vm.State != store.VMLive && vm.State != store.VMLeaving) {
			return nil, merry.Prependf(store.ErrUnavailable, "entry with peer %q has state %q", vm.Peer, vm.State)
		}
	}
	return list.VMs, nil
}

// ServiceStats are the counters of one service.
type ServiceStats struct {
	Reads, Writes    uint64 // requests sent, retries included
	Retries          uint64
	Conflicts        uint64
	Unavailable      uint64 // calls that ended with ErrUnavailable
	Unknown          uint64 // calls that ended with ErrUnknown
	RejectedLocally  uint64 // attempts rejected by the breaker or the rate limiter
	Contacts         uint64
	Breaker          BreakerState
	BreakerOpenCount uint64
}

// Stats are the counters of a Client.
type Stats struct {
	Table, Objects, VMs ServiceStats
}

// Stats returns the current counters.
func (c *Client) Stats() Stats {
	return Stats{Table: c.table.stats(), Objects: c.objects.stats(), VMs: c.vms.stats()}
}

func (s *service) stats() ServiceStats {
	state, opened := s.breaker.snapshot()
	return ServiceStats{
		Reads:            s.counters.reads.Load(),
		Writes:           s.counters.writes.Load(),
		Retries:          s.counters.retries.Load(),
		Conflicts:        s.counters.conflicts.Load(),
		Unavailable:      s.counters.unavailable.Load(),
		Unknown:          s.counters.unknown.Load(),
		RejectedLocally:  s.counters.refusedLocally.Load(),
		Contacts:         s.counters.contacts.Load(),
		Breaker:          state,
		BreakerOpenCount: opened,
	}
}
