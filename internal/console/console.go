// Package console serves the operators' web forms for editing the fleet's document. An operator edits a draft of the
// document in force, which is kept in memory only. The only output is a validated document to download, which the operator
// then publishes to the platform. The number and lifetime of drafts are limited. A draft whose parent is no longer in force
// cannot be downloaded, so that operators who started from the same version do not overwrite each other's changes.
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
	// requestTimeout limits the time to read a request and the time to write its response.
	requestTimeout = 30 * time.Second
	idleTimeout    = 60 * time.Second
	stopTimeout    = 10 * time.Second
	maxHeaderBytes = 32 << 10
	maxFormBytes   = 64 << 10
)

// Console is the server of the oriole-console process.
type Console struct {
	settings       *settings.Console
	clock          clockwork.Clock
	log            zerolog.Logger
	metrics        *metrics.Registry
	sessions       *sessionStore
	authenticator  *authenticator
	documentReader *documentReader

	failedLogins tally.Counter
	downloads    tally.Counter
	conflicts    tally.Counter
}

// New returns a console. Run starts it.
func New(s *settings.Console, clock clockwork.Clock, log zerolog.Logger) *Console {
	m := metrics.New("oriole_console")
	return &Console{
		settings: s, clock: clock, log: log, metrics: m, sessions: newSessionStore(s.Sessions, clock),
		authenticator: newAuthenticator(s.Operators, clock), documentReader: newDocumentReader(s),
		failedLogins: m.Scope.Counter("failed_logins"), downloads: m.Scope.Counter("downloads"),
		conflicts: m.Scope.Counter("conflicts"),
	}
}

// CheckFiles checks that the TLS and document files named in the settings can be read.
func (c *Console) CheckFiles() error {
	if tlsFiles := c.settings.TLS; !tlsFiles.Plaintext {
		if _, err := tls.LoadX509KeyPair(tlsFiles.CertFile, tlsFiles.KeyFile); err != nil {
			return errors.Wrap(err, "read tls.cert_file and tls.key_file")
		}
	}
	if c.settings.DocumentFile != "" {
		_, err := c.documentReader.read(context.Background())
		return err
	}
	return nil
}

// Handler returns the handler of the operators' pages.
func (c *Console) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/static/{file}", http.FileServerFS(static)).Methods(http.MethodGet)
	r.HandleFunc("/login", c.login).Methods(http.MethodGet, http.MethodPost)
	r.Handle("/logout", c.requireCSRFToken(c.logout)).Methods(http.MethodPost)
	for _, view := range views {
		r.Handle(view.path, c.requireSession(func(w http.ResponseWriter, r *http.Request, s *session) {
			c.renderView(w, r, s, view.name, http.StatusOK, nil)
		})).Methods(http.MethodGet)
	}
	r.Handle("/draft/restart", c.requireCSRFToken(c.restart)).Methods(http.MethodPost)
	r.Handle("/draft/download", c.requireCSRFToken(c.download)).Methods(http.MethodPost)
	r.Handle("/teams/{team}/keys/add", c.requireCSRFToken(c.addKey)).Methods(http.MethodPost)
	for path, change := range editsByPath {
		r.Handle(path, c.requireCSRFToken(func(w http.ResponseWriter, r *http.Request, s *session) { c.applyEdit(w, r, s, change) })).
			Methods(http.MethodPost)
	}
	return withSecurityHeaders(http.NewCrossOriginProtection().Handler(r))
}

// withSecurityHeaders sets the security headers of every response and limits the size of forms.
func withSecurityHeaders(next http.Handler) http.Handler {
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

// sessionHandler handles a request of a logged-in operator. It runs with the session's lock held.
type sessionHandler func(w http.ResponseWriter, r *http.Request, s *session)

// requireSession runs next for a logged-in operator and redirects all others to the login page.
func (c *Console) requireSession(next sessionHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, s := c.sessionFromRequest(r)
		if s == nil {
			http.Redirect(w, r, "/login", http.StatusSeeOther)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		next(w, r, s)
	})
}

// requireCSRFToken runs next for a form that carries the session's CSRF token and rejects any other.
func (c *Console) requireCSRFToken(next sessionHandler) http.Handler {
	return c.requireSession(func(w http.ResponseWriter, r *http.Request, s *session) {
		if !validToken(s, r) {
			http.Error(w, "The form did not come from this session. Go back, reload the page and try again.", http.StatusForbidden)
			return
		}
		next(w, r, s)
	})
}

// consoleState is the console's state dump. It contains nothing of the drafts.
type consoleState struct {
	Sessions int `json:"sessions"`
}

func (c *Console) adminHandler() http.Handler {
	return admin.Handler(admin.Options{
		Ready: func() string { return "" }, State: func() any { return consoleState{Sessions: c.sessions.count()} },
		Metrics: c.metrics.Handler,
	})
}

// Run serves the pages and the admin endpoints until the context is cancelled.
func (c *Console) Run(ctx context.Context) error {
	pageServer := &http.Server{
		Handler: c.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	adminServer := &http.Server{Handler: c.adminHandler(), ReadHeaderTimeout: headerTimeout}
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- c.serve(pageServer, c.settings.Address, c.settings.TLS) }()
	go func() {
		serveErrors <- c.serve(adminServer, c.settings.AdminAddress, settings.ConsoleTLS{Plaintext: true})
	}()
	c.log.Info().Str("event", "started").Str("version", process.Version).Send()
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	c.log.Info().Str("event", "stopped").Send()
	if err := pageServer.Shutdown(shutdownCtx); err != nil {
		return errors.Wrap(err, "shut down page server")
	}
	return errors.Wrap(adminServer.Shutdown(shutdownCtx), "shut down admin server")
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
