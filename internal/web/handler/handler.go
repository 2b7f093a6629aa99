package handler

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/settings/loader"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
	"damaskpick.example/damaskpick/internal/web/accountant"
	"damaskpick.example/damaskpick/internal/web/charger"
)

// Forwarder runs the requests of callers.
type Forwarder interface {
	Generate(ctx context.Context, generation forwarder.Generation, deliver func(forwarder.Chunk) error) (forwarder.Usage, error)
	Call(ctx context.Context, call forwarder.ServiceCall) (forwarder.ServiceResponse, error)
}

// Options configure a Handler. Forwarder and Snapshot are required.
type Options struct {
	Forwarder Forwarder
	// Snapshot returns the newest published state, or nil before the first tick of the control loop.
	Snapshot    func() *modeler.Snapshot
	Credentials []loader.Credential
	Limits      loader.Limits
	Timeouts    loader.Timeouts
	Log         zerolog.Logger
	// Charger charges the requests of members; the default is one of Limits.HeldBytes.
	Charger *charger.Charger
	// Refused is called for each refusal that this package decides and for each internal error; the forwarder reports all others. It may
	// be nil.
	OnRefusal func(modeler.Code)
	// Metrics and Report are served to operators under /metrics and /report. A path whose handler is nil does not exist.
	Metrics http.Handler
	Report  http.Handler
}

// Defaults that New uses for limits and timeouts that are not positive.
const (
	DefaultHeaderBytes = 16 << 10
	DefaultBodyBytes   = 8 << 20
	// DefaultCallerRead is enough for a body of DefaultBodyBytes at 2.5 Mbit/s.
	DefaultCallerRead      = 30 * time.Second
	DefaultCallerWrite     = 10 * time.Second
	DefaultAddressLifetime = 10 * time.Second
)

// Handler implements http.Handler.
type Handler struct {
	Options
	credentials credentials
	routes      *http.ServeMux
}

// New returns a Handler, or an error that lists every invalid credential.
func New(options Options) (*Handler, error) {
	index, err := newCredentials(options.Credentials)
	if err != nil {
		return nil, err
	}
	setDefaults(&options)
	h := &Handler{Options: options, credentials: index, routes: http.NewServeMux()}
	h.routes.Handle("POST /v1/completions", h.requireMember((*httpExchange).serveCompletion))
	h.routes.Handle("POST /v1/chat/completions", h.requireMember((*httpExchange).serveChat))
	h.routes.Handle("GET /v1/models", h.requireMember((*httpExchange).serveModels))
	h.routes.Handle("GET /v1/addresses", h.requireMember((*httpExchange).serveAddresses))
	h.routes.Handle("/services/{service}/{path...}", h.requireMember((*httpExchange).serveService))
	h.routes.HandleFunc("GET /healthz", serveHealth)
	h.routes.HandleFunc("GET /readyz", h.serveReady)
	if options.Metrics != nil {
		h.routes.Handle("GET /metrics", h.requireOperator(options.Metrics))
	}
	if options.Report != nil {
		h.routes.Handle("GET /report", h.requireOperator(options.Report))
	}
	return h, nil
}

func setDefaults(o *Options) {
	if o.Limits.HeaderBytes <= 0 {
		o.Limits.HeaderBytes = DefaultHeaderBytes
	}
	if o.Limits.BodyBytes <= 0 {
		o.Limits.BodyBytes = DefaultBodyBytes
	}
	if o.Charger == nil {
		o.Charger = charger.New(accountant.New(accountant.Options{
			Bytes: max(o.Limits.HeldBytes, 4*o.Limits.BodyBytes), Connections: math.MaxInt32, Now: time.Now,
		}), int64(o.Limits.HeaderBytes))
	}
	for _, timeout := range []struct {
		value    *loader.Duration
		fallback time.Duration
	}{
		{&o.Timeouts.CallerRead, DefaultCallerRead},
		{&o.Timeouts.CallerWrite, DefaultCallerWrite},
		{&o.Timeouts.AddressLifetime, DefaultAddressLifetime},
	} {
		if *timeout.value <= 0 {
			*timeout.value = loader.Duration(timeout.fallback)
		}
	}
}

// httpExchange is one request and its response. It is used by a single goroutine.
type httpExchange struct {
	*Handler
	id         modeler.RequestID
	member     modeler.MemberID
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	// bodyRead is set once the whole request body has been read.
	bodyRead bool
	// account is charged for the body of a member's request; nil for others.
	account *charger.Request
	// writeDeadline is the current write deadline of the connection.
	writeDeadline time.Time
}

// ServeHTTP assigns the request an ID, which the response returns in X-Request-Id. Unknown paths and methods get a JSON refusal.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, err := uuid.NewV7()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("X-Request-Id", id.String())
	x := h.newExchange(w, r)
	// net/http reads the rest of a refused request's body, so the deadline is also needed for requests whose body no handler reads.
	if err := x.setReadDeadline(time.Now().Add(h.Timeouts.CallerRead.Std())); err != nil {
		x.refuse(err)
		return
	}
	if isAmbiguousPath(r.URL.Path) {
		x.refuse(refusal(CodeInvalidRequest, "the path has empty or dot segments"))
		return
	}
	if _, pattern := h.routes.Handler(r); pattern == "" {
		x.refuse(x.routeError())
		return
	}
	h.routes.ServeHTTP(w, r)
}

// routeError returns the refusal of a request without a route: a wrong method or an unknown path.
func (x *httpExchange) routeError() error {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		other := x.request.Clone(x.request.Context())
		other.Method = method
		if _, pattern := x.routes.Handler(other); pattern != "" {
			x.writer.Header().Set("Allow", method)
			return refusal(CodeMethodNotAllowed, "use method "+method+" here")
		}
	}
	return refusal(CodeNotFound, "unknown path")
}

func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request) *httpExchange {
	return &httpExchange{
		Handler: h, id: modeler.RequestID(w.Header().Get("X-Request-Id")),
		writer: w, request: r, controller: http.NewResponseController(w),
	}
}

// requireMember runs serve for requests with the credential of a member and refuses others.
func (h *Handler) requireMember(serve func(*httpExchange) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := h.newExchange(w, r)
		credential, err := h.credentials.find(r)
		if err == nil && credential.Member == "" {
			err = refusal(CodeForbidden, "the credential belongs to no member")
		}
		if err == nil {
			x.member = credential.Member
			err = x.serveCharged(serve)
		}
		if err != nil {
			x.refuse(err)
		}
	})
}

// serveCharged runs serve with an account for the request.
func (x *httpExchange) serveCharged(serve func(*httpExchange) error) error {
	account, closeAccount, err := x.Charger.NewRequest(x.request, int64(x.Limits.HeaderBytes))
	if err != nil {
		return noMemory()
	}
	defer closeAccount()
	x.account = account
	return serve(x)
}

// requireOperator runs next for requests with the credential of an operator and refuses others.
func (h *Handler) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		credential, err := h.credentials.find(r)
		if err == nil && credential.Operator == "" {
			err = refusal(CodeForbidden, "the credential belongs to no operator")
		}
		if err != nil {
			h.newExchange(w, r).refuse(err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// extendWriteDeadline extends the write deadline, but at most once a second, or once in half of CallerWrite if that is shorter: each call
// to SetWriteDeadline takes about as long as encoding a chunk.
func (x *httpExchange) extendWriteDeadline() {
	now := time.Now()
	limit := x.Timeouts.CallerWrite.Std()
	if x.writeDeadline.Sub(now) > limit-min(time.Second, limit/2) {
		return
	}
	x.writeDeadline = now.Add(limit)
	// Writers without support for deadlines, such as httptest.ResponseRecorder, need none.
	if err := x.controller.SetWriteDeadline(x.writeDeadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		x.Log.Debug().Str("request", string(x.id)).Err(err).Msg("write deadline not set")
	}
}
