package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/settings"
	"bluebellhold/note"
)

// Defaults of Config.
//
// A note that adds 310,000 IPv4 blocks has 7.5 MB, and the text of IPv6 blocks is longer.
const (
	DefaultMaxBody id.Bytes = 32 << 20
	DefaultTimeout          = 30 * time.Second
)

// Config configures the API.
//
// Without a token every request is refused. Registry, Log, MaxBody and Timeout are optional. MaxBody limits the body of
// a request, and Timeout the time for reading and executing it.
type Config struct {
	Backend  Backend
	Token    settings.Secret
	Registry metrics.Registry
	Log      *log.Logger
	MaxBody  id.Bytes
	Timeout  time.Duration
}

// New returns the handler of the operators' API.
func New(c Config) http.Handler {
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	if c.Log == nil {
		c.Log = log.New(io.Discard)
	}
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxBody
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	s := &server{Config: c}
	r := mux.NewRouter()
	r.Handle("/notes", s.handler(s.propose)).Methods(http.MethodPost)
	r.Handle("/plan", s.handler(s.plan)).Methods(http.MethodPost)
	r.Handle("/history", s.handler(s.history)).Methods(http.MethodGet)
	r.Handle("/status", s.handler(s.status)).Methods(http.MethodGet)
	r.Handle("/dump", s.handler(s.dump)).Methods(http.MethodGet)
	r.Handle("/configuration", s.handler(s.configuration)).Methods(http.MethodGet)
	r.Handle("/lookup", s.handler(s.lookup)).Methods(http.MethodGet)
	r.Handle("/metrics", s.handler(s.metrics)).Methods(http.MethodGet)
	r.Handle("/stop", s.handler(s.stop)).Methods(http.MethodPost)
	r.NotFoundHandler = s.handler(func(r *http.Request) (any, error) {
		return nil, &NotFoundError{Kind: "path", Name: r.URL.Path}
	})
	r.MethodNotAllowedHandler = s.handler(func(r *http.Request) (any, error) {
		return nil, &MethodError{Method: r.Method}
	})
	return r
}

type server struct {
	Config
}

// handler responds with the result of endpoint as JSON, or with a refusal.
//
// The body is complete before its first byte is written, so a panic or an error never causes a truncated response.
func (s *server) handler(endpoint func(*http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := s.invoke(w, r, endpoint)
		status := http.StatusOK
		if err != nil {
			refusal, statusErr := classify(err)
			status = merry.HTTPCode(statusErr)
			body, _ = json.Marshal(refusal)
			s.Log.Info("request refused", "method", r.Method, "path", r.URL.Path, "status", status, "error", err)
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(status)
		_, _ = w.Write(body)
	})
}

func (s *server) invoke(w http.ResponseWriter, r *http.Request, endpoint func(*http.Request) (any, error)) (body []byte, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			s.Log.Error("panic", "method", r.Method, "path", r.URL.Path, "fault", recovered, "stack", string(debug.Stack()))
			body, err = nil, &PanicError{}
		}
	}()
	if !s.isAuthorised(r) {
		return nil, &TokenError{}
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.Timeout)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		// Not every ResponseWriter supports a read deadline; without it, the server's own read timeout applies.
		_ = http.NewResponseController(w).SetReadDeadline(deadline)
	}
	r = r.WithContext(ctx)
	r.Body = http.MaxBytesReader(w, r.Body, int64(s.MaxBody))
	result, err := endpoint(r)
	if err != nil {
		return nil, err
	}
	return json.Marshal(result)
}

func (s *server) isAuthorised(r *http.Request) bool {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	return strings.EqualFold(scheme, "Bearer") && s.Token.Equal([]byte(token))
}

func (s *server) readNote(r *http.Request) (note.Note, error) {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return note.Note{}, &BodyTooLargeError{Limit: id.Bytes(tooLarge.Limit)}
	}
	if err != nil {
		return note.Note{}, &BodyReadError{Cause: err}
	}
	return note.Parse(body)
}

func (s *server) propose(r *http.Request) (any, error) {
	n, err := s.readNote(r)
	if err != nil {
		return nil, err
	}
	return s.Backend.Propose(r.Context(), n)
}

func (s *server) plan(r *http.Request) (any, error) {
	n, err := s.readNote(r)
	if err != nil {
		return nil, err
	}
	changes, err := s.Backend.Plan(r.Context(), n)
	if changes == nil {
		changes = note.Changes{}
	}
	return changes, err
}

func (s *server) history(r *http.Request) (any, error) {
	return s.Backend.History(r.Context())
}

func (s *server) status(r *http.Request) (any, error) {
	return s.Backend.Status(r.Context())
}

func (s *server) dump(r *http.Request) (any, error) {
	return s.Backend.Dump(r.Context())
}

// configuration omits the digests of keys, which must not leave the store and the instances.
func (s *server) configuration(r *http.Request) (any, error) {
	c, err := s.Backend.Configuration(r.Context())
	if err != nil {
		return nil, err
	}
	type key struct {
		Organisation id.Organisation `json:"organisation"`
	}
	keys := make(map[id.Key]key, len(c.Keys))
	for name, k := range c.Keys {
		keys[name] = key{k.Organisation}
	}
	return struct {
		note.Configuration
		Keys map[id.Key]key `json:"keys,omitempty"`
	}{c, keys}, nil
}

func (s *server) lookup(r *http.Request) (any, error) {
	query := r.URL.Query()
	for _, name := range []string{"service", "organisation"} {
		omitted := name == "organisation" && !query.Has(name)
		if !omitted && !note.ValidName(query.Get(name)) {
			return nil, &note.FieldError{Path: name, Value: strconv.Quote(query.Get(name)), Allowed: note.NameRule}
		}
	}
	address, err := netip.ParseAddr(query.Get("address"))
	if err != nil {
		return nil, &note.FieldError{Path: "address", Value: strconv.Quote(query.Get("address")), Allowed: "an IP number"}
	}
	service, organisation := id.Service(query.Get("service")), id.Organisation(query.Get("organisation"))
	if err := s.checkExists(r.Context(), service, organisation); err != nil {
		return nil, err
	}
	return s.Backend.Lookup(r.Context(), service, organisation, address)
}

// checkExists returns an error for a service or organisation that the configuration does not contain, so that a
// misspelt name does not get a plausible response.
func (s *server) checkExists(ctx context.Context, service id.Service, organisation id.Organisation) error {
	c, err := s.Backend.Configuration(ctx)
	if err != nil {
		return err
	}
	if _, ok := c.Services[service]; !ok {
		return &NotFoundError{Kind: "service", Name: string(service)}
	}
	if _, ok := c.Organisations[organisation]; !ok && organisation != "" {
		return &NotFoundError{Kind: "organisation", Name: string(organisation)}
	}
	return nil
}

func (s *server) metrics(*http.Request) (any, error) {
	return s.Registry.GetAll(), nil
}

func (s *server) stop(r *http.Request) (any, error) {
	return struct{}{}, s.Backend.Stop(r.Context())
}
