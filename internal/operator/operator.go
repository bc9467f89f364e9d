// Package operator implements the HTTP API for operators. It has its own listener
// and its own keys, and is not reachable by callers.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/confsync"
)

// Configuration is the subset of confsync.Syncer that the API needs.
type Configuration interface {
	Submit(ctx context.Context, p config.Patch) (confsync.Verdict, error)
	Lookup(ctx context.Context, id string) (confsync.Verdict, error)
	History(ctx context.Context, after uint64) ([]confsync.HistoryEntry, error)
}

// Options holds the dependencies of the API. All fields are required.
type Options struct {
	Configuration Configuration
	// Current returns the active configuration, or nil.
	Current func() *config.Config
	// Status returns the status of this VM.
	Status func() Status
	Keys   *auth.Keys
	Log    *slog.Logger
}

// Status describes one VM.
type Status struct {
	Instance string `json:"instance"`
	// NotReady is why the VM is not ready, or empty if it is.
	NotReady     string `json:"not_ready,omitempty"`
	Connectivity string `json:"verdict"`
	Seats        []int  `json:"seats"`
	Version      uint64 `json:"version"`
	Hash         string `json:"hash"`
	Peers        []Peer `json:"peers"`
}

// Peer is another VM as seen by this one.
type Peer struct {
	Instance  string    `json:"instance"`
	Zone      string    `json:"zone"`
	Seats     []int     `json:"seats"`
	State     string    `json:"state"`
	LastHeard time.Time `json:"last_heard"`
	Version   uint64    `json:"version"`
}

// RefusedBody is the response body for a refused patch.
type RefusedBody struct {
	apierror.Body
	Verdict confsync.Verdict `json:"verdict"`
}

// API serves the operator API.
type API struct{ options Options }

// Handler returns the handler for the operator listener.
func Handler(o Options) http.Handler {
	a := &API{options: o}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config", a.getConfig)
	mux.HandleFunc("POST /config/patches", a.postPatch)
	mux.HandleFunc("GET /config/patches/{id}", a.getPatch)
	mux.HandleFunc("GET /config/history", a.getHistory)
	mux.HandleFunc("GET /status", a.getStatus)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		apierror.New(apierror.KindNotFound, apierror.NotRun, "no such path or method: "+r.Method+" "+r.URL.Path, "use a path of docs/design.md, section 9").Write(w)
	})
	return a.authenticated(mux)
}

type ownerKey struct{}

// authenticated rejects requests without an operator key.
func (a *API) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		owner, ok := a.options.Keys.Owner(r)
		if !ok {
			apierror.New(apierror.KindUnauthenticated, apierror.NotRun, "the operator key is missing or not known", "send Authorization: Bearer KEY").Write(w)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), ownerKey{}, owner)))
	})
}

func (a *API) write(w http.ResponseWriter, v any) { a.writeStatus(w, http.StatusOK, v) }

func (a *API) writeStatus(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		a.options.Log.Warn("failed to send the response to an operator", "error", err)
	}
}

func (a *API) getConfig(w http.ResponseWriter, _ *http.Request) {
	c := a.options.Current()
	if c == nil {
		apierror.New(apierror.KindUnavailable, apierror.NotRun, "no configuration is in force on this VM yet", "see /status for the reason, or ask another VM").Write(w)
		return
	}
	a.write(w, c.Document())
}

func (a *API) postPatch(w http.ResponseWriter, r *http.Request) {
	p, err := a.readPatch(w, r)
	if err != nil {
		apierror.From(err).Write(w)
		return
	}
	verdict, err := a.options.Configuration.Submit(r.Context(), p)
	switch {
	case err != nil:
		apierror.From(err).Write(w)
	case verdict.Result == confsync.Refused:
		a.writeRefused(w, verdict)
	default:
		a.write(w, verdict)
	}
}

// readPatch reads a patch and sets the operator as its submitter.
func (a *API) readPatch(w http.ResponseWriter, r *http.Request) (config.Patch, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxPatchBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return config.Patch{}, apierror.New(apierror.KindTooLarge, apierror.NotRun, fmt.Sprintf("the patch is larger than %d bytes", config.MaxPatchBytes), "split it into several patches")
	}
	if err != nil {
		return config.Patch{}, apierror.New(apierror.KindInvalidRequest, apierror.NotRun, "the body was not read", "send it again").WithCause(err)
	}
	p, err := config.DecodePatch(body)
	if err != nil {
		return p, apierror.New(apierror.KindInvalidRequest, apierror.NotRun, "the patch is not valid: "+err.Error(), "correct it; a field of a newer program version needs a VM of that version")
	}
	owner, _ := r.Context().Value(ownerKey{}).(string)
	if p.Submitter != "" && p.Submitter != owner {
		return p, apierror.New(apierror.KindForbidden, apierror.NotRun, fmt.Sprintf("submitter %q is not the owner of the key, %q", p.Submitter, owner), "leave the submitter out")
	}
	p.Submitter = owner
	return p, nil
}

func (a *API) writeRefused(w http.ResponseWriter, v confsync.Verdict) {
	e := apierror.New(apierror.KindConflict, apierror.NotRun, v.Reason, v.Remedy)
	body := RefusedBody{Verdict: v}
	if err := json.Unmarshal(e.JSON(), &body.Body); err != nil {
		a.options.Log.Error("failed to build an error body", "error", err)
	}
	w.Header().Set("X-Outcome", string(e.Outcome))
	a.writeStatus(w, e.Status(), body)
}

func (a *API) getPatch(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !config.ValidName(id) {
		apierror.New(apierror.KindInvalidRequest, apierror.NotRun, "the id is not valid", "use 1 to 64 letters, digits, dots, underscores or hyphens").Write(w)
		return
	}
	verdict, err := a.options.Configuration.Lookup(r.Context(), id)
	if err != nil {
		apierror.From(err).Write(w)
		return
	}
	a.write(w, verdict)
}

func (a *API) getHistory(w http.ResponseWriter, r *http.Request) {
	after := uint64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			apierror.New(apierror.KindInvalidRequest, apierror.NotRun, fmt.Sprintf("after: found %q", text), "use a version number").Write(w)
			return
		}
		after = n
	}
	entries, err := a.options.Configuration.History(r.Context(), after)
	if err != nil {
		apierror.From(err).Write(w)
		return
	}
	a.write(w, entries)
}

func (a *API) getStatus(w http.ResponseWriter, _ *http.Request) { a.write(w, a.options.Status()) }
