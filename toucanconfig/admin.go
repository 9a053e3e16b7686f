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

// maxRequestBytes bounds the body of an apply: a class file with every byte
// escaped, and the other fields.
const maxRequestBytes = 2*toucanclass.MaxFileBytes + 4096

// Admin serves the configuration part of a node's admin listener. KV, Clock and
// InForce are required; its methods are safe for concurrent use if InForce and
// Distribute are.
type Admin struct {
	KV    toucankv.Store
	Clock toucanclock.Clock
	// InForce returns the document that is in force at the node.
	InForce func(service string) (Document, bool)
	// Prepare, if set, finds members of the service before the write, while the
	// key-value service still answers.
	Prepare func(ctx context.Context, service string)
	// Distribute, if set, installs and spreads a document. The reply is given when
	// it returns: after the first member acknowledged the document, or a second.
	Distribute func(ctx context.Context, d Document)
	// Timeout shortens an apply; 0 leaves it at 10 seconds.
	Timeout time.Duration
	Log     *slog.Logger
}

// Register adds the routes to a mux.
func (a *Admin) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /config/{service}", a.serveApply)
	mux.HandleFunc("GET /config/{service}", a.serveShow)
	mux.HandleFunc("GET /config/{service}/history", a.serveHistory)
}

// applyMessage is the body of an apply.
type applyMessage struct {
	Replaces  uint64 `json:"replaces"`
	Author    string `json:"author"`
	Nonce     string `json:"nonce"`
	ClassFile string `json:"class_file"`
}

// shownMessage is the answer to a show or an accepted apply. Source is "kv", or
// "node" if the key-value service does not answer and the node's copy is shown.
type shownMessage struct {
	documentMessage
	Source          string `json:"source"`
	InForceRevision uint64 `json:"in_force_revision"` // at the node that answers
}

type historyMessage struct {
	Service string   `json:"service"`
	Changes []Change `json:"changes"`
	Source  string   `json:"source"`
}

// errorMessage is the answer to everything that failed.
type errorMessage struct {
	Error    string                `json:"error"` // invalid, not_found, conflict, unavailable, unknown
	Reason   string                `json:"reason"`
	Problems []toucanclass.Problem `json:"problems,omitempty"`
	Current  *Change               `json:"current,omitempty"` // the winner of a conflict
	Nonce    string                `json:"nonce,omitempty"`   // to repeat an unknown apply with
}

func (a *Admin) serveApply(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	var m applyMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&m); err != nil {
		writeError(w, &InvalidError{Err: err})
		return
	}
	// The operator's connection must not end an apply that was sent to the
	// key-value service: the document would be spread late.
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
	d, err := Apply(ctx, a.KV, NewApplication(a.Clock, request, a.inForce(service)))
	a.log(request, err)
	if err != nil {
		writeError(w, err)
		return
	}
	if a.Distribute != nil {
		a.Distribute(ctx, d)
	}
	writeJSON(w, http.StatusOK, shownMessage{documentMessage: d.message(), Source: "kv", InForceRevision: a.inForce(service)})
}

func (a *Admin) serveShow(w http.ResponseWriter, r *http.Request) {
	d, source, err := a.current(r.Context(), r.PathValue("service"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, shownMessage{documentMessage: d.message(), Source: source, InForceRevision: a.inForce(d.Service())})
}

func (a *Admin) serveHistory(w http.ResponseWriter, r *http.Request) {
	d, source, err := a.current(r.Context(), r.PathValue("service"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, historyMessage{Service: d.Service(), Changes: d.Changes(), Source: source})
}

// current reads the document from the key-value service, or from the node if
// that does not answer.
func (a *Admin) current(ctx context.Context, service string) (Document, string, error) {
	pair, err := a.KV.Get(ctx, Key(service))
	if err == nil {
		d, err := Decode(pair.Value)
		return d, "kv", err
	}
	if d, ok := a.InForce(service); ok && !isMissing(err) {
		return d, "node", nil
	}
	return Document{}, "", err
}

func (a *Admin) inForce(service string) uint64 {
	d, _ := a.InForce(service)
	return d.Revision()
}

func (a *Admin) log(r Request, err error) {
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
	m := errorMessage{Error: "unavailable", Reason: err.Error()}
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
	case isMissing(err):
		status, m.Error, m.Reason = http.StatusNotFound, "not_found", "the service has no class file"
	}
	writeJSON(w, status, m)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.Encode(v) // A failed write means that the operator's connection is gone.
}
