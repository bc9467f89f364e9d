package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

// maxTableBodyBytes limits the body of a request to the table service.
const maxTableBodyBytes = 32 << 20

// Table is a fake of the transactional table service.
type Table struct {
	faultInjector
	table  *storefake.Table
	backup atomic.Pointer[storefake.Copy]
}

// NewTable returns an empty table service.
func NewTable() *Table { return &Table{table: storefake.NewTable()} }

// Backup keeps a copy of the current state for Restore, in place of an earlier
// one.
func (t *Table) Backup() {
	c := t.table.Copy()
	t.backup.Store(&c)
}

// Restore returns to the state of the last Backup, and reports false if there is
// none. Later writes are lost and their revisions are assigned again.
func (t *Table) Restore() bool {
	c := t.backup.Load()
	if c == nil {
		return false
	}
	t.table.Restore(*c)
	return true
}

// Underlying returns the table behind the service, for direct access in tests.
func (t *Table) Underlying() *storefake.Table { return t.table }

// Handler returns the HTTP interface of the table service.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /get", t.withFaults(false, t.serveGet))
	mux.HandleFunc("POST /scan", t.withFaults(false, t.serveScan))
	mux.HandleFunc("POST /commit", t.withFaults(true, t.serveCommit))
	mux.HandleFunc("POST /backup", func(http.ResponseWriter, *http.Request) { t.Backup() })
	mux.HandleFunc("POST /restore", t.serveRestore)
	t.register(mux)
	return mux
}

func (t *Table) serveRestore(w http.ResponseWriter, _ *http.Request) {
	if !t.Restore() {
		http.Error(w, "there is no backup to restore", http.StatusConflict)
	}
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxTableBodyBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func (t *Table) serveGet(w http.ResponseWriter, r *http.Request) {
	var req store.GetRequest
	if !decodeBody(w, r, &req) {
		return
	}
	rows, err := t.table.Get(r.Context(), req.Keys...)
	writeRows(w, rows, err)
}

func (t *Table) serveScan(w http.ResponseWriter, r *http.Request) {
	var req store.ScanRequest
	if !decodeBody(w, r, &req) {
		return
	}
	rows, err := t.table.Scan(r.Context(), req.Prefix, req.After, max(req.Limit, 0))
	writeRows(w, rows, err)
}

func writeRows(w http.ResponseWriter, rows []store.Row, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, store.RowsResponse{Rows: rows})
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn store.Txn
	if !decodeBody(w, r, &txn) {
		return
	}
	revision, err := t.table.Commit(r.Context(), txn)
	switch {
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, store.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil || t.losesResponse():
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, store.CommitResponse{Revision: revision})
	}
}

// Objects is a fake of the object store.
type Objects struct {
	faultInjector
	objects *storefake.Objects
}

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{objects: storefake.NewObjects()} }

// Handler returns the HTTP interface of the object store.
func (o *Objects) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /objects/{name...}", o.withFaults(true, o.servePut))
	mux.HandleFunc("GET /objects/{name...}", o.withFaults(false, o.serveGet))
	mux.HandleFunc("DELETE /objects/{name...}", o.withFaults(true, o.serveDelete))
	o.register(mux)
	return mux
}

func (o *Objects) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.respondToWrite(w, o.objects.Put(r.Context(), r.PathValue("name"), data))
}

func (o *Objects) serveDelete(w http.ResponseWriter, r *http.Request) {
	o.respondToWrite(w, o.objects.Delete(r.Context(), r.PathValue("name")))
}

func (o *Objects) respondToWrite(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if o.losesResponse() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (o *Objects) serveGet(w http.ResponseWriter, r *http.Request) {
	data, err := o.objects.Get(r.Context(), r.PathValue("name"))
	switch {
	case errors.Is(err, store.ErrObjectNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Write(data)
	}
}
