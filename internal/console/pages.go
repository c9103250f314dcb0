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

// views are the pages that show a draft.
var views = []struct{ path, name, title string }{
	{"/", "overview", "Overview"},
	{"/teams", "teams", "Teams and keys"},
	{"/data-centres", "data-centres", "Data centres"},
	{"/pools", "pools", "Pools"},
	{"/routes", "routes", "Routes"},
}

// page is what a template shows.
type page struct {
	Title string
	// View is the name of the shown view, for the navigation.
	View   string
	User   string
	CSRF   string
	Notice string
	// Problem is one line in plain words; FormProblems belong to the form that was sent.
	Problem      string
	FormProblems []document.Problem
	Doc          *document.Document
	Review       *review
	// InForce is nil if the document in force could not be read; InForceError then says why.
	InForce      *document.Snapshot
	InForceError string
	// Conflict says that the draft's parent is no longer in force; Theirs is what was changed meanwhile.
	Conflict bool
	Theirs   []document.Change
	NewKey   *shownKey
}

// shownKey is a new key on the one page that shows it.
type shownKey struct {
	Team, ID, Secret string
}

var pageTemplates = parseTemplates()

func parseTemplates() map[string]*template.Template {
	functions := template.FuncMap{
		"join": strings.Join, "short": short, "number": number, "date": date,
	}
	parsed := map[string]*template.Template{}
	for _, name := range []string{"login", "overview", "teams", "data-centres", "pools", "routes", "key"} {
		parsed[name] = template.Must(template.New("layout.html").Funcs(functions).
			ParseFS(templates, "templates/layout.html", "templates/"+name+".html"))
	}
	return parsed
}

// short returns the first characters of a hash.
func short(hash string) string {
	const shown = 12
	return hash[:min(shown, len(hash))]
}

func number(f float64) string { return fmt.Sprintf("%g", f) }

func date(t *time.Time) string { return t.UTC().Format("2006-01-02 15:04 UTC") }

func (c *Console) render(w http.ResponseWriter, status int, name string, p *page) {
	var out bytes.Buffer
	if err := pageTemplates[name].Execute(&out, p); err != nil {
		c.log.Error().Str("event", "page-failed").Str("page", name).Err(err).Send()
		http.Error(w, "The page could not be made.", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	// The browser may be gone; there is nobody left to tell.
	_, _ = w.Write(out.Bytes())
}

// newPage fills in what all views show. The session's draft is made from the document in force if there is none yet.
func (c *Console) newPage(ctx context.Context, s *session) (*page, error) {
	p := &page{User: s.user, CSRF: s.csrf, Notice: s.notice}
	s.notice = ""
	current, err := c.inForce.read(ctx)
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
	if p.Review, err = s.draft.review(); err != nil {
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
	p.Theirs, err = document.Diff(base.Document, p.InForce.Document)
	return err
}

func (c *Console) fail(w http.ResponseWriter, err error) {
	c.log.Error().Str("event", "page-failed").Err(err).Send()
	http.Error(w, "The page could not be made.", http.StatusInternalServerError)
}

func (c *Console) showView(w http.ResponseWriter, r *http.Request, s *session, name string, status int, problems []document.Problem) {
	p, err := c.newPage(r.Context(), s)
	if err != nil {
		c.fail(w, err)
		return
	}
	for _, view := range views {
		if view.name == name {
			p.Title, p.View = view.title, name
		}
	}
	p.FormProblems = problems
	if p.Doc == nil {
		// Without a document there is nothing to edit; the overview says why.
		name, p.View, status = "overview", "overview", http.StatusServiceUnavailable
	}
	c.render(w, status, name, p)
}

// viewOf returns the name of the view that holds the form of a path.
func viewOf(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	for _, view := range views {
		if view.name == first {
			return first
		}
	}
	return "overview"
}

// pathOf returns the path of a view.
func pathOf(name string) string {
	for _, view := range views {
		if view.name == name {
			return view.path
		}
	}
	return "/"
}

// apply runs an edit on a copy of the draft and keeps the copy if the form was right.
func (c *Console) apply(w http.ResponseWriter, r *http.Request, s *session, change edit) {
	f := &form{r: r}
	if !c.change(w, s, f, change) {
		return
	}
	if len(f.problems) > 0 {
		c.showView(w, r, s, viewOf(r.URL.Path), http.StatusUnprocessableEntity, f.problems)
		return
	}
	s.notice = "The draft was changed. Nothing is in force before you download the document and publish it."
	http.Redirect(w, r, pathOf(viewOf(r.URL.Path)), http.StatusSeeOther)
}

// change runs the edit; it returns false if an answer was written already.
func (c *Console) change(w http.ResponseWriter, s *session, f *form, change edit) bool {
	if s.draft == nil {
		http.Error(w, "There is no draft; open the overview first.", http.StatusConflict)
		return false
	}
	doc, err := copyDocument(s.draft.doc)
	if err != nil {
		c.fail(w, err)
		return false
	}
	change(doc, f)
	if raw, err := doc.Encode(); err != nil || len(raw) > document.MaxBytes {
		f.fail("(document)", fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("at most %d bytes", document.MaxBytes))
	}
	if len(f.problems) == 0 {
		s.draft.doc = doc
	}
	return true
}

// hoursPerDay turns the days of a form into a duration.
const hoursPerDay = 24 * time.Hour

// addKey makes a key and shows it on the page that answers the form; only its hash goes into the draft.
func (c *Console) addKey(w http.ResponseWriter, r *http.Request, s *session) {
	f := &form{r: r}
	shown := &shownKey{Team: f.variable("team"), ID: f.name("id")}
	made := func(doc *document.Document, f *form) {
		team := find(f, doc.Teams, "team", shown.Team, teamName)
		if team == nil {
			return
		}
		unused(f, team.Keys, "key", shown.ID, keyID)
		var key document.Key
		var err error
		shown.Secret, key, err = document.NewKey(shown.ID, c.notAfter(f))
		if err != nil {
			f.fail("key", "", err.Error())
		}
		team.Keys = append(team.Keys, key)
	}
	if !c.change(w, s, f, made) {
		return
	}
	if len(f.problems) > 0 {
		c.showView(w, r, s, "teams", http.StatusUnprocessableEntity, f.problems)
		return
	}
	p, err := c.newPage(r.Context(), s)
	if err != nil {
		c.fail(w, err)
		return
	}
	p.Title, p.View, p.NewKey = "New key", "teams", shown
	c.render(w, http.StatusOK, "key", p)
}

// notAfter returns the end of a key that is valid for the days of the form, or nil for a key without end.
func (c *Console) notAfter(f *form) *time.Time {
	const maxDays = 3650
	days := f.int("valid_days")
	if days < 0 || days > maxDays {
		f.fail("valid_days", f.text("valid_days"), fmt.Sprintf("1 to %d days, or nothing for a key without end", maxDays))
	}
	if days <= 0 {
		return nil
	}
	end := c.clock.Now().Add(time.Duration(days) * hoursPerDay).UTC().Truncate(time.Second)
	return &end
}

// restart throws the draft away; the next page makes one from the document in force.
func (c *Console) restart(w http.ResponseWriter, r *http.Request, s *session) {
	s.draft = nil
	s.notice = "A new draft was made from the document in force."
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

// download answers with the finished document, if it is valid and its parent is still in force.
func (c *Console) download(w http.ResponseWriter, r *http.Request, s *session) {
	p, err := c.newPage(r.Context(), s)
	if err != nil {
		c.fail(w, err)
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
	c.log.Info().Str("event", "download").Str("user", s.user).Uint64("version", p.Review.Next).Str("hash", p.Review.Hash).Send()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Disposition", fmt.Sprintf(`attachment; filename="%s-v%d.json"`, p.Doc.Fleet, p.Review.Next))
	// The browser may be gone; there is nobody left to tell.
	_, _ = w.Write(p.Review.Raw)
}
