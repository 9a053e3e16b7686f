package toucanconfig

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"toucanhaven/toucanclass"
	"toucanhaven/toucanclock"
	"toucanhaven/toucankv"
)

// maxRequestBytes is the maximum size of the body of an apply request: a class file
// with every byte escaped, and the other fields.
const maxRequestBytes = 2*toucanclass.MaxFileBytes + 4096

// Admin serves the configuration routes of a node's admin listener. KV, Clock and
// InForce are required. Its methods are safe for concurrent use if InForce, Prepare
// and Distribute are.
type Admin struct {
	KV    toucankv.Store
	Clock toucanclock.Clock
	// InForce returns the document of a service that is in force at the node.
	InForce func(service string) (Document, bool)
	// Prepare, if set, finds members of the service before the write, because the
	// key-value service may become unreachable after it.
	Prepare func(ctx context.Context, service string)
	// Distribute, if set, installs an accepted document and sends it to members. The
	// response is sent when it returns, which is after the first member has
	// acknowledged the document, or after a second.
	Distribute func(ctx context.Context, d Document)
	// Timeout is the timeout of an apply if it is shorter than the default of 10
	// seconds; 0 means the default.
	Timeout time.Duration
	Log     *slog.Logger
}

// Register adds the routes to a mux.
func (a *Admin) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /config/{service}", a.serveApply)
	mux.HandleFunc("GET /config/{service}", a.serveShow)
	mux.HandleFunc("GET /config/{service}/history", a.serveHistory)
}

// applyRequest is the body of an apply request.
type applyRequest struct {
	Replaces  uint64 `json:"replaces"`
	Author    string `json:"author"`
	Nonce     string `json:"nonce"`
	ClassFile string `json:"class_file"`
}

// showResponse is the response to a show or an accepted apply. Source is "kv", or
// "node" if the key-value service is unreachable and the document is the one in
// force at the node.
type showResponse struct {
	documentMessage
	Source          string `json:"source"`
	InForceRevision uint64 `json:"in_force_revision"` // at the node that responds
}

type historyResponse struct {
	Service string   `json:"service"`
	Changes []Change `json:"changes"`
	Source  string   `json:"source"`
}

// errorResponse is the response to a failed request.
type errorResponse struct {
	Error    string                `json:"error"` // invalid, not_found, conflict, unavailable, unknown
	Reason   string                `json:"reason"`
	Problems []toucanclass.Problem `json:"problems,omitempty"`
	Current  *Change               `json:"current,omitempty"` // the change that won a conflict
	Nonce    string                `json:"nonce,omitempty"`   // for a retry of an apply with unknown result
}

func (a *Admin) serveApply(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	var m applyRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&m); err != nil {
		writeError(w, &InvalidError{Err: err})
		return
	}
	// A closed connection of the operator must not cancel an apply that was sent to
	// the key-value service, because the document would then reach the members late.
	ctx := context.WithoutCancel(r.Context())
	if a.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.Timeout)
		defer cancel()
	}
	if a.Prepare != nil {
		a.Prepare(ctx, service)
	}
	request := Request{Service: service, Replaces: m.Replaces, Author: m.Author, Nonce: m.Nonce, Source: m.ClassFile}
	d, err := Apply(ctx, a.KV, NewApplyState(a.Clock, request, a.inForceRevision(service)))
	a.logApply(request, err)
	if err != nil {
		writeError(w, err)
		return
	}
	if a.Distribute != nil {
		a.Distribute(ctx, d)
	}
	writeJSON(w, http.StatusOK, showResponse{documentMessage: d.message(), Source: "kv", InForceRevision: a.inForceRevision(service)})
}

func (a *Admin) serveShow(w http.ResponseWriter, r *http.Request) {
	d, source, err := a.currentDocument(r.Context(), r.PathValue("service"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, showResponse{documentMessage: d.message(), Source: source, InForceRevision: a.inForceRevision(d.Service())})
}

func (a *Admin) serveHistory(w http.ResponseWriter, r *http.Request) {
	d, source, err := a.currentDocument(r.Context(), r.PathValue("service"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, historyResponse{Service: d.Service(), Changes: d.Changes(), Source: source})
}

// currentDocument returns the document from the key-value service, or the one in
// force at the node if the service is unreachable, and the name of the source.
func (a *Admin) currentDocument(ctx context.Context, service string) (Document, string, error) {
	pair, err := a.KV.Get(ctx, Key(service))
	if err == nil {
		d, err := Decode(pair.Value)
		return d, "kv", err
	}
	if d, ok := a.InForce(service); ok && !isNotFound(err) {
		return d, "node", nil
	}
	return Document{}, "", err
}

func (a *Admin) inForceRevision(service string) uint64 {
	d, _ := a.InForce(service)
	return d.Revision()
}

func (a *Admin) logApply(r Request, err error) {
	if a.Log == nil {
		return
	}
	attributes := []any{"service", r.Service, "replaces", r.Replaces, "author", r.Author, "nonce", r.Nonce}
	if err != nil {
		a.Log.Warn("config_apply", append(attributes, "accepted", false, "error", err)...)
		return
	}
	a.Log.Info("config_apply", append(attributes, "accepted", true)...)
}

func writeError(w http.ResponseWriter, err error) {
	m := errorResponse{Error: "unavailable", Reason: err.Error()}
	status := http.StatusServiceUnavailable
	var invalid *InvalidError
	var file *toucanclass.FileError
	var conflict *ConflictError
	var unknown *UnknownError
	switch {
	case errors.As(err, &invalid):
		status, m.Error = http.StatusBadRequest, "invalid"
		if errors.As(err, &file) {
			m.Problems = file.Problems
		}
	case errors.As(err, &conflict):
		status, m.Error = http.StatusConflict, "conflict"
		if conflict.Winner.Revision > 0 {
			m.Current = &conflict.Winner
		}
	case errors.As(err, &unknown):
		status, m.Error, m.Nonce = http.StatusGatewayTimeout, "unknown", unknown.Nonce
	case isNotFound(err):
		status, m.Error, m.Reason = http.StatusNotFound, "not_found", "the service has no class file"
	}
	writeJSON(w, status, m)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.Encode(v) // A failed write means that the operator's connection is closed.
}
