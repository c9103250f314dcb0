// Package console serves the operators' forms. An operator works on a draft of the document in force, in memory only;
// the one output is a validated document to download, which the operator publishes on the platform. Drafts are bounded
// in number and time. A draft whose parent is no longer in force cannot be downloaded: that is how two operators who
// started from the same version are kept from losing each other's changes.
package console

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/metrics"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/settings"
)

const (
	headerTimeout = 5 * time.Second
	// exchangeTimeout bounds the reading of a request and the writing of its answer.
	exchangeTimeout = 30 * time.Second
	idleTimeout     = 60 * time.Second
	stopTimeout     = 10 * time.Second
	maxHeaderBytes  = 32 << 10
	maxFormBytes    = 64 << 10
)

// Console is one oriole-console process.
type Console struct {
	settings *settings.Console
	clock    clockwork.Clock
	log      zerolog.Logger
	metrics  *metrics.Registry
	sessions *sessions
	gate     *gate
	inForce  *inForce

	failedLogins tally.Counter
	downloads    tally.Counter
	conflicts    tally.Counter
}

// New returns a console; Run starts it.
func New(s *settings.Console, clock clockwork.Clock, log zerolog.Logger) *Console {
	m := metrics.New("oriole_console")
	return &Console{
		settings: s, clock: clock, log: log, metrics: m, sessions: newSessions(s.Sessions, clock),
		gate: newGate(s.Operators, clock), inForce: newInForce(s),
		failedLogins: m.Scope.Counter("failed_logins"), downloads: m.Scope.Counter("downloads"),
		conflicts: m.Scope.Counter("conflicts"),
	}
}

// CheckFiles reads the files that the settings name.
func (c *Console) CheckFiles() error {
	if tlsFiles := c.settings.TLS; !tlsFiles.Plaintext {
		if _, err := tls.LoadX509KeyPair(tlsFiles.CertFile, tlsFiles.KeyFile); err != nil {
			return errors.Wrap(err, "read tls.cert_file and tls.key_file")
		}
	}
	if c.settings.DocumentFile != "" {
		_, err := c.inForce.read(context.Background())
		return err
	}
	return nil
}

// Handler returns the operators' pages.
func (c *Console) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/static/{file}", http.FileServerFS(static)).Methods(http.MethodGet)
	r.HandleFunc("/login", c.login).Methods(http.MethodGet, http.MethodPost)
	r.Handle("/logout", c.post(c.logout)).Methods(http.MethodPost)
	for _, view := range views {
		r.Handle(view.path, c.with(func(w http.ResponseWriter, r *http.Request, s *session) {
			c.showView(w, r, s, view.name, http.StatusOK, nil)
		})).Methods(http.MethodGet)
	}
	r.Handle("/draft/restart", c.post(c.restart)).Methods(http.MethodPost)
	r.Handle("/draft/download", c.post(c.download)).Methods(http.MethodPost)
	r.Handle("/teams/{team}/keys/add", c.post(c.addKey)).Methods(http.MethodPost)
	for path, change := range edits {
		r.Handle(path, c.post(func(w http.ResponseWriter, r *http.Request, s *session) { c.apply(w, r, s, change) })).
			Methods(http.MethodPost)
	}
	return secure(http.NewCrossOriginProtection().Handler(r))
}

// secure sets the headers of every page and bounds the form.
func secure(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy",
			"default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'")
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("X-Frame-Options", "DENY")
		h.Set("Referrer-Policy", "same-origin")
		h.Set("Cross-Origin-Opener-Policy", "same-origin")
		h.Set("Cache-Control", "no-store")
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		next.ServeHTTP(w, r)
	})
}

// page handlers run with the session of a logged-in operator, whose lock they hold.
type sessionHandler func(w http.ResponseWriter, r *http.Request, s *session)

// with runs next for a logged-in operator and sends everyone else to the login.
func (c *Console) with(next sessionHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, s := c.sessionOf(r)
		if s == nil {
			http.Redirect(w, r, "/login", http.StatusSeeOther)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		next(w, r, s)
	})
}

// post runs next for a form that carries the session's token.
func (c *Console) post(next sessionHandler) http.Handler {
	return c.with(func(w http.ResponseWriter, r *http.Request, s *session) {
		if !validToken(s, r) {
			http.Error(w, "The form did not come from this session. Go back, reload the page and try again.", http.StatusForbidden)
			return
		}
		next(w, r, s)
	})
}

// state is the console's state dump. It shows nothing of the drafts.
type state struct {
	Sessions int `json:"sessions"`
}

func (c *Console) adminHandler() http.Handler {
	return admin.Handler(admin.Options{
		Ready: func() string { return "" }, State: func() any { return state{Sessions: c.sessions.count()} },
		Metrics: c.metrics.Handler,
	})
}

// Run serves until the context ends.
func (c *Console) Run(ctx context.Context) error {
	pages := &http.Server{
		Handler: c.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: exchangeTimeout, WriteTimeout: exchangeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	operators := &http.Server{Handler: c.adminHandler(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 2)
	go func() { failed <- c.serve(pages, c.settings.Address, c.settings.TLS) }()
	go func() { failed <- c.serve(operators, c.settings.AdminAddress, settings.ConsoleTLS{Plaintext: true}) }()
	c.log.Info().Str("event", "started").Str("version", process.Version).Send()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	c.log.Info().Str("event", "stopped").Send()
	if err := pages.Shutdown(stop); err != nil {
		return errors.Wrap(err, "stop pages")
	}
	return errors.Wrap(operators.Shutdown(stop), "stop admin server")
}

func (c *Console) serve(s *http.Server, address string, files settings.ConsoleTLS) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if files.Plaintext {
		err = s.Serve(listener)
	} else {
		err = s.ServeTLS(listener, files.CertFile, files.KeyFile)
	}
	return errors.Wrapf(process.IgnoreServerClosed(err), "serve %s", address)
}
