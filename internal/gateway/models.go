package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/config"
)

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// visibleModels returns the models of the routes that the account may use.
func visibleModels(cfg *config.Config, account string) []modelEntry {
	entries := []modelEntry{}
	for _, r := range cfg.Routes {
		open := len(r.Accounts) == 0 || slices.Contains(r.Accounts, account)
		if open && cfg.Services[r.Service].Kind == config.ModelService {
			entries = append(entries, modelEntry{ID: r.Model, Object: "model", OwnedBy: r.Service})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	return entries
}

func (g *Gateway) serveModels(w http.ResponseWriter, _ *http.Request, account string) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(modelList{Object: "list", Data: visibleModels(g.Config.Current(), account)})
}

func (g *Gateway) serveModel(w http.ResponseWriter, r *http.Request, account string) {
	for _, m := range visibleModels(g.Config.Current(), account) {
		if m.ID == r.PathValue("model") {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(m)
			return
		}
	}
	apierror.New(apierror.KindNotFound, apierror.NotRun,
		fmt.Sprintf("model %q does not exist or is not open to this account", r.PathValue("model")),
		"use a model that GET /v1/models lists").Write(w)
}

// servePlain serves a request to a plain service.
func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request, account string) {
	if g.Plain == nil {
		apierror.New(apierror.KindUnavailable, apierror.NotRun,
			"plain services are not served by this process", "try another VM").Write(w)
		return
	}
	g.Plain.ServeHTTP(w, r.WithContext(WithAccount(r.Context(), account)))
}
