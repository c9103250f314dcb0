package console

import (
	"bytes"
	"context"
	"embed"
	"fmt"
	"html/template"
	"net/http"
	"strings"
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
)

//go:embed static
var static embed.FS

//go:embed templates
var templates embed.FS

// views are the pages that show the draft.
var views = []struct{ path, name, title string }{
	{"/", "overview", "Overview"},
	{"/teams", "teams", "Teams and keys"},
	{"/data-centres", "data-centres", "Data centres"},
	{"/pools", "pools", "Pools"},
	{"/routes", "routes", "Routes"},
}

// page is the data of a page template.
type page struct {
	Title string
	// View is the name of the current view, for the navigation.
	View   string
	User   string
	CSRF   string
	Notice string
	// Problem is a one-line error message; FormProblems are the problems of the submitted form.
	Problem      string
	FormProblems []document.Problem
	Doc          *document.Document
	Review       *review
	// InForce is nil if the document in force could not be read; InForceError is then the error.
	InForce      *document.Snapshot
	InForceError string
	// Conflict is set if the document that the draft is based on is no longer in force. ConcurrentChanges are the changes
	// from that document to the one in force.
	Conflict          bool
	ConcurrentChanges []document.Change
	NewKey            *displayedKey
}

// displayedKey is a newly created API key. Only the response to the form that created it shows the secret.
type displayedKey struct {
	Team, ID, Secret string
}

var pageTemplates = parseTemplates()

func parseTemplates() map[string]*template.Template {
	functions := template.FuncMap{
		"join": strings.Join, "short": shortHash, "number": formatNumber, "date": formatTime,
	}
	parsed := map[string]*template.Template{}
	for _, name := range []string{"login", "overview", "teams", "data-centres", "pools", "routes", "key"} {
		parsed[name] = template.Must(template.New("layout.html").Funcs(functions).
			ParseFS(templates, "templates/layout.html", "templates/"+name+".html"))
	}
	return parsed
}

// shortHash returns the first 12 characters of a hash.
func shortHash(hash string) string {
	const shownChars = 12
	return hash[:min(shownChars, len(hash))]
}

func formatNumber(f float64) string { return fmt.Sprintf("%g", f) }

func formatTime(t *time.Time) string { return t.UTC().Format("2006-01-02 15:04 UTC") }

func (c *Console) render(w http.ResponseWriter, status int, name string, p *page) {
	var out bytes.Buffer
	if err := pageTemplates[name].Execute(&out, p); err != nil {
		c.log.Error().Str("event", "page-failed").Str("page", name).Err(err).Send()
		http.Error(w, "The page could not be rendered.", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	// A write error means that the client has disconnected, so it is ignored.
	_, _ = w.Write(out.Bytes())
}

// newPage returns a page with the data that all views show. If the session has no draft, it creates one from the document in
// force.
func (c *Console) newPage(ctx context.Context, s *session) (*page, error) {
	p := &page{User: s.user, CSRF: s.csrf, Notice: s.notice}
	s.notice = ""
	current, err := c.documentReader.read(ctx)
	if err != nil {
		c.log.Warn().Str("event", "document-unread").Err(err).Send()
		p.InForceError = err.Error()
	}
	p.InForce = current
	if s.draft == nil && current != nil {
		if s.draft, err = newDraft(current); err != nil {
			return nil, err
		}
	}
	if s.draft == nil {
		return p, nil
	}
	p.Doc = s.draft.doc
	if p.Review, err = s.draft.makeReview(); err != nil {
		return nil, err
	}
	return p, c.findConflict(p)
}

func (c *Console) findConflict(p *page) error {
	base := p.Review.Base
	if p.InForce == nil || p.InForce.Hash == base.Hash {
		return nil
	}
	p.Conflict = true
	var err error
	p.ConcurrentChanges, err = document.Diff(base.Document, p.InForce.Document)
	return err
}

func (c *Console) writeServerError(w http.ResponseWriter, err error) {
	c.log.Error().Str("event", "page-failed").Err(err).Send()
	http.Error(w, "The page could not be rendered.", http.StatusInternalServerError)
}

func (c *Console) renderView(w http.ResponseWriter, r *http.Request, s *session, name string, status int, problems []document.Problem) {
	p, err := c.newPage(r.Context(), s)
	if err != nil {
		c.writeServerError(w, err)
		return
	}
	for _, view := range views {
		if view.name == name {
			p.Title, p.View = view.title, name
		}
	}
	p.FormProblems = problems
	if p.Doc == nil {
		// Without a document there is nothing to edit; the overview shows the error.
		name, p.View, status = "overview", "overview", http.StatusServiceUnavailable
	}
	c.render(w, status, name, p)
}

// viewForPath returns the name of the view that contains the form with the given path.
func viewForPath(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	for _, view := range views {
		if view.name == first {
			return first
		}
	}
	return "overview"
}

// viewPath returns the path of the view with the given name.
func viewPath(name string) string {
	for _, view := range views {
		if view.name == name {
			return view.path
		}
	}
	return "/"
}

// applyEdit applies an edit to the draft and redirects to the form's view. If the form has problems, the draft stays
// unchanged and the response shows them.
func (c *Console) applyEdit(w http.ResponseWriter, r *http.Request, s *session, change edit) {
	f := &form{r: r}
	if !c.editDraft(w, s, f, change) {
		return
	}
	if len(f.problems) > 0 {
		c.renderView(w, r, s, viewForPath(r.URL.Path), http.StatusUnprocessableEntity, f.problems)
		return
	}
	s.notice = "The draft was changed. It takes effect only after you download the document and publish it."
	http.Redirect(w, r, viewPath(viewForPath(r.URL.Path)), http.StatusSeeOther)
}

// editDraft applies an edit to a copy of the draft and keeps the copy if the form has no problems. It returns false if it has
// already written a response.
func (c *Console) editDraft(w http.ResponseWriter, s *session, f *form, change edit) bool {
	if s.draft == nil {
		http.Error(w, "There is no draft; open the overview first.", http.StatusConflict)
		return false
	}
	doc, err := copyDocument(s.draft.doc)
	if err != nil {
		c.writeServerError(w, err)
		return false
	}
	change(doc, f)
	if raw, err := doc.Encode(); err != nil || len(raw) > document.MaxBytes {
		f.addProblem("(document)", fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("at most %d bytes", document.MaxBytes))
	}
	if len(f.problems) == 0 {
		s.draft.doc = doc
	}
	return true
}

// day is the unit of the form field valid_days.
const day = 24 * time.Hour

// addKey creates an API key and shows the secret in the response. The draft receives only the hash.
func (c *Console) addKey(w http.ResponseWriter, r *http.Request, s *session) {
	f := &form{r: r}
	shown := &displayedKey{Team: f.pathVariable("team"), ID: f.name("id")}
	appendKey := func(doc *document.Document, f *form) {
		team := findByName(f, doc.Teams, "team", shown.Team, teamName)
		if team == nil {
			return
		}
		checkNameUnused(f, team.Keys, "key", shown.ID, keyID)
		var key document.Key
		var err error
		shown.Secret, key, err = document.NewKey(shown.ID, c.notAfter(f))
		if err != nil {
			f.addProblem("key", "", err.Error())
		}
		team.Keys = append(team.Keys, key)
	}
	if !c.editDraft(w, s, f, appendKey) {
		return
	}
	if len(f.problems) > 0 {
		c.renderView(w, r, s, "teams", http.StatusUnprocessableEntity, f.problems)
		return
	}
	p, err := c.newPage(r.Context(), s)
	if err != nil {
		c.writeServerError(w, err)
		return
	}
	p.Title, p.View, p.NewKey = "New key", "teams", shown
	c.render(w, http.StatusOK, "key", p)
}

// notAfter returns the expiry time for the number of days in the form, or nil for a key that does not expire.
func (c *Console) notAfter(f *form) *time.Time {
	const maxDays = 3650
	days := f.int("valid_days")
	if days < 0 || days > maxDays {
		f.addProblem("valid_days", f.text("valid_days"), fmt.Sprintf("1 to %d days, or nothing for a key without end", maxDays))
	}
	if days <= 0 {
		return nil
	}
	end := c.clock.Now().Add(time.Duration(days) * day).UTC().Truncate(time.Second)
	return &end
}

// restart discards the draft; the next page creates one from the document in force.
func (c *Console) restart(w http.ResponseWriter, r *http.Request, s *session) {
	s.draft = nil
	s.notice = "A new draft was created from the document in force."
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

// download sends the draft as a document, if it has changes, is valid and its parent is still in force.
func (c *Console) download(w http.ResponseWriter, r *http.Request, s *session) {
	p, err := c.newPage(r.Context(), s)
	if err != nil {
		c.writeServerError(w, err)
		return
	}
	p.Title, p.View = "Overview", "overview"
	status := http.StatusConflict
	switch {
	case p.InForce == nil || p.Review == nil:
		status = http.StatusServiceUnavailable
		p.Problem = "The document in force cannot be read, so it is not known whether somebody else changed it."
	case p.Conflict:
		c.conflicts.Inc(1)
		p.Problem = "Somebody else changed the document in force after this draft was made."
	case len(p.Review.Problems) > 0:
		status = http.StatusUnprocessableEntity
		p.Problem = "The draft is not valid."
	case len(p.Review.Changes) == 0:
		p.Problem = "The draft is the same as the document in force."
	default:
		c.sendDocument(w, s, p)
		return
	}
	c.render(w, status, "overview", p)
}

func (c *Console) sendDocument(w http.ResponseWriter, s *session, p *page) {
	c.downloads.Inc(1)
	c.log.Info().Str("event", "download").Str("user", s.user).Uint64("version", p.Review.NextVersion).Str("hash", p.Review.Hash).Send()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Disposition", fmt.Sprintf(`attachment; filename="%s-v%d.json"`, p.Doc.Fleet, p.Review.NextVersion))
	// A write error means that the client has disconnected, so it is ignored.
	_, _ = w.Write(p.Review.Raw)
}
