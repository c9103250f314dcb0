package callers

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"path"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/inbound"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/routing"
)

// step is the step that this package's refusals carry.
const step = "receive"

// HeaderTimeout is the header in which a caller states how long it waits for the whole response, in milliseconds.
const HeaderTimeout = "Oriole-Timeout-Ms"

// routerHeaderPrefix is the prefix of the headers that only routers may set.
const routerHeaderPrefix = "Oriole-"

// noDocumentRetryAfter is the Retry-After of refusals while the router has no document.
const noDocumentRetryAfter = time.Second

// bodiesFullRetryAfter is the Retry-After of refusals while the bodies in flight use up their memory budget.
const bodiesFullRetryAfter = time.Second

// receive reads the whole request, since its body may have to be sent to more than one host. The returned exchange is
// never nil. The error is an *outcome.Refusal.
func (h *Handler) receive(r *http.Request, body io.Reader) (*exchange.Exchange, error) {
	now := h.clock.Now()
	x := &exchange.Exchange{
		TraceID: fmt.Sprintf("%016x", rand.Uint64()), Start: now, Deadline: now.Add(h.timeouts.Request.Std()),
		Method: r.Method, Path: r.URL.Path, RawQuery: r.URL.RawQuery, Header: r.Header.Clone(),
		IdempotencyKey: r.Header.Get(outcome.HeaderIdempotencyKey), Snapshot: h.store.Current(),
	}
	if x.Snapshot == nil {
		return x, outcome.Unavailable(step, "no-document", "the router has no configuration yet").WithRetryAfter(noDocumentRetryAfter)
	}
	if refusal := checkHead(r, h.limits.HeaderBytes); refusal != nil {
		return x, refusal
	}
	timeout, refusal := h.timeout(r.Header)
	if refusal != nil {
		return x, refusal
	}
	x.Deadline = now.Add(timeout)
	stripHeader(x.Header)
	raw, err := io.ReadAll(body)
	if err != nil {
		return x, bodyRefusal(err)
	}
	x.Body = raw
	return x, nil
}

// checkHead refuses a request line or header that must not reach an upstream.
func checkHead(r *http.Request, maxHeader int) *outcome.Refusal {
	switch {
	case inbound.HeaderBytes(r) > maxHeader:
		return outcome.Refuse(step, http.StatusRequestHeaderFieldsTooLarge, "header-too-large",
			fmt.Sprintf("the request line and header have more than %d bytes", maxHeader))
	case !isCanonicalPath(r.URL.Path):
		return outcome.Refuse(step, http.StatusBadRequest, "bad-path",
			"the path must be UTF-8, begin with / and have no empty or dot segment, backslash or control character")
	case !isParsableQuery(r.URL.RawQuery):
		return outcome.Refuse(step, http.StatusBadRequest, "bad-query", "the query is not in the form of name=value pairs")
	case !isValidChatID(r.Header.Get(routing.HeaderChatID)):
		return outcome.Refuse(step, http.StatusBadRequest, "bad-chat-id",
			fmt.Sprintf("%s must be printable ASCII of at most %d characters", routing.HeaderChatID, maxChatID))
	case len(r.Header.Values(outcome.HeaderIdempotencyKey)) > 1:
		return outcome.Refuse(step, http.StatusBadRequest, "several-idempotency-keys",
			"the request carries more than one Idempotency-Key header")
	default:
		return nil
	}
}

// isCanonicalPath reports whether all servers interpret the path in the same way. Otherwise an upstream that resolves
// dot segments would serve a different path from the one whose route was authorised.
func isCanonicalPath(p string) bool {
	if !strings.HasPrefix(p, "/") || !utf8.ValidString(p) || strings.ContainsFunc(p, isPathControl) {
		return false
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

func isPathControl(r rune) bool {
	const del = 0x7f
	return r < ' ' || r == del || r == '\\'
}

// isParsableQuery reports whether the query can be parsed, which the search for a key requires.
func isParsableQuery(query string) bool {
	_, err := url.ParseQuery(query)
	return err == nil
}

// maxChatID bounds the length of a chat ID, in bytes.
const maxChatID = 256

func isValidChatID(id string) bool {
	return len(id) <= maxChatID && !strings.ContainsFunc(id, func(r rune) bool { return r < ' ' || r > '~' })
}

// stripHeader removes the headers that only routers may set and those that the caller's Connection header names.
func stripHeader(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for name := range header {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), routerHeaderPrefix) {
			delete(header, name)
		}
	}
}

// limitBody returns a reader of the body that fails when the body exceeds a limit. The server's ReadTimeout bounds the
// time.
func (h *Handler) limitBody(w http.ResponseWriter, r *http.Request) *inbound.BudgetedReader {
	return h.bodies.NewReader(http.MaxBytesReader(w, r.Body, h.limits.BodyBytes))
}

func bodyRefusal(err error) *outcome.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return outcome.Refuse(step, http.StatusRequestEntityTooLarge, "body-too-large",
			fmt.Sprintf("the body has more than %d bytes", tooLarge.Limit))
	case errors.Is(err, inbound.ErrBudgetExceeded):
		return outcome.Unavailable(step, "bodies-full", "the router holds as many bytes of bodies as it may").
			WithRetryAfter(bodiesFullRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.Refuse(step, http.StatusRequestTimeout, "body-timeout", "the body did not arrive in time").
			WithPeer("caller", err)
	default:
		return outcome.Refuse(step, http.StatusBadRequest, "body-incomplete", "the request's body could not be read").
			WithPeer("caller", err)
	}
}

// timeout returns the time allowed for the whole response: the caller's timeout, but at most the one in the settings.
func (h *Handler) timeout(header http.Header) (time.Duration, *outcome.Refusal) {
	limit := h.timeouts.Request.Std()
	text := header.Get(HeaderTimeout)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 {
		return 0, outcome.Refuse(step, http.StatusBadRequest, "bad-timeout",
			HeaderTimeout+" must be a whole number of milliseconds above 0")
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}
