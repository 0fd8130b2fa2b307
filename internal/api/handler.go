package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// Limits of a single request.
const (
	// MaxAnnouncementBytes is the maximum body size of an announcement.
	MaxAnnouncementBytes = 4 << 10
	// AnnounceTimeout limits the handling of an announcement.
	AnnounceTimeout = 2 * time.Second
	// ApplyTimeout limits the handling of a document, including the commit by the
	// control hosts.
	ApplyTimeout = 10 * time.Second
	// QueryTimeout limits the handling of a status or explain request.
	QueryTimeout = 5 * time.Second
)

// Limits of the HTTP server.
const (
	readHeaderTimeout = 2 * time.Second
	readTimeout       = 5 * time.Second
	writeTimeout      = 20 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Backend is the host behind the handler. Errors without an errkind are reported
// as internal. The methods must be safe for concurrent use and return when the
// context ends.
type Backend interface {
	dbedge.Announcer
	// Apply proposes a validated document, with its text, to the control hosts.
	// The error is a *ConflictError if the document conflicts with the one in
	// force.
	Apply(ctx context.Context, doc *config.Document, src []byte) (ApplyReply, error)
	// Status returns the host's view of the system.
	Status(ctx context.Context) (Status, error)
	// SwitchOver starts a planned change of the primary of a group.
	SwitchOver(ctx context.Context, s SwitchOver) error
	// Explain returns how the host would route a request now.
	Explain(ctx context.Context, q ExplainQuery) (Explanation, error)
	// Ready returns nil if the load balancer may send callers to this host, and
	// otherwise an error with the reason.
	Ready(ctx context.Context) error
}

// NewServer returns a server for h with limits on the duration and size of
// requests. The caller provides the listener.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// NewHandler returns the handler of the HTTP interface. It serves metrics at
// PathMetrics. PathHealth, PathReady and PathMetrics need no authentication.
func NewHandler(b Backend, metrics http.Handler, a AccessControl) http.Handler {
	h := &handler{backend: b}
	mux := http.NewServeMux()
	mux.Handle("POST "+PathAnnounce, a.requireAnnounceToken(endpoint(AnnounceTimeout, h.announce)))
	mux.Handle("POST "+PathDocuments, a.requireOperator(endpoint(ApplyTimeout, h.apply)))
	mux.Handle("POST "+PathSwitchOver, a.requireOperator(endpoint(ApplyTimeout, h.switchOver)))
	mux.Handle("GET "+PathStatus, a.requireOperator(endpoint(QueryTimeout, h.status)))
	mux.Handle("GET "+PathExplain, a.requireOperator(endpoint(QueryTimeout, h.explain)))
	mux.Handle("GET "+PathHealth, endpoint(QueryTimeout, h.health))
	mux.HandleFunc("GET "+PathReady, h.ready)
	mux.Handle("GET "+PathMetrics, metrics)
	mux.HandleFunc("/", notFound)
	return mux
}

type handler struct {
	backend Backend
}

// endpoint returns a handler that calls serve with a context limited by timeout
// and writes the reply or the error as JSON.
func endpoint(timeout time.Duration, serve func(w http.ResponseWriter, r *http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		reply, err := serve(w, r.WithContext(ctx))
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	})
}

func (h *handler) announce(w http.ResponseWriter, r *http.Request) (any, error) {
	body, err := readBody(w, r, MaxAnnouncementBytes)
	if err != nil {
		return nil, err
	}
	a, err := DecodeAnnouncement(body)
	if err != nil {
		return nil, err
	}
	return h.backend.Announce(r.Context(), a)
}

func (h *handler) apply(w http.ResponseWriter, r *http.Request) (any, error) {
	body, err := readBody(w, r, config.MaxFileBytes)
	if err != nil {
		return nil, err
	}
	doc, err := config.ParseDocument("document", body)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.ConfigInvalid, "%v", problemSummary(err))
	}
	return h.backend.Apply(r.Context(), doc, body)
}

func (h *handler) status(_ http.ResponseWriter, r *http.Request) (any, error) {
	return h.backend.Status(r.Context())
}

func (h *handler) explain(_ http.ResponseWriter, r *http.Request) (any, error) {
	q, err := parseExplainQuery(r.URL.RawQuery)
	if err != nil {
		return nil, err
	}
	return h.backend.Explain(r.Context(), q)
}

func (h *handler) health(http.ResponseWriter, *http.Request) (any, error) {
	return Health{OK: true}, nil
}

// ready replies to the load balancer with 200 or 503. It replies with 503 to every
// error, regardless of the status that statusOf has for the kind of the error.
func (h *handler) ready(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), QueryTimeout)
	defer cancel()
	if err := h.backend.Ready(ctx); err != nil {
		_, body := describe(err)
		writeJSON(w, http.StatusServiceUnavailable, ErrorReply{Error: body})
		return
	}
	writeJSON(w, http.StatusOK, Health{OK: true})
}

// parseExplainQuery parses the query string of an explain request.
func parseExplainQuery(raw string) (ExplainQuery, error) {
	var q ExplainQuery
	params, err := url.ParseQuery(raw)
	if err != nil {
		return q, errkind.Wrap(err, errkind.BadRequest, "query: %v", err)
	}
	for name, values := range params {
		if !slices.Contains([]string{"service", "class", "key"}, name) {
			return q, errkind.New(errkind.BadRequest, "query: unknown parameter %.80q, expected service, class, key", name)
		}
		if len(values) != 1 {
			return q, errkind.New(errkind.BadRequest, "query: the parameter %s stands twice", name)
		}
	}
	q = ExplainQuery{Service: params.Get("service"), Class: params.Get("class"), Key: params.Get("key")}
	if q.Service == "" {
		return q, errkind.New(errkind.BadRequest, "query: the parameter service is missing")
	}
	return q, nil
}

// readBody reads the body of a request, which must not exceed limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.Wrap(err, errkind.TooLarge, "the body may have %d bytes", limit)
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "reading the body: %v", err)
	}
	return body, nil
}

// problemSummary returns the first problem of a document and the number of the
// others. The body of the reply lists all of them.
func problemSummary(err error) string {
	var p *config.Problems
	if !errors.As(err, &p) || len(p.Items) == 0 {
		return err.Error()
	}
	if len(p.Items) == 1 {
		return p.Items[0].String()
	}
	return fmt.Sprintf("%s (and %d more)", p.Items[0], len(p.Items)-1)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	_, body := describe(errkind.New(errkind.BadRequest, "no such path or method: %s %.80s", r.Method, r.URL.Path))
	writeJSON(w, http.StatusNotFound, ErrorReply{Error: body})
}

func writeError(w http.ResponseWriter, err error) {
	status, body := describe(err)
	writeJSON(w, status, ErrorReply{Error: body})
}

// writeJSON writes a reply. Write errors are ignored: they mean that the client
// has disconnected.
func writeJSON(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}
