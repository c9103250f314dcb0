package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"
)

// Paths of the engine's interface.
const (
	PathCompletions = "/v1/chat/completions"
	PathLoad        = "/v1/load"
	PathEvents      = "/v1/cache/events"
)

// Headers of the engine's interface.
const (
	// HeaderRequestID is echoed in the answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderResumeFrom asks for the answer from this token on.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderBootID identifies the engine's run in each answer.
	HeaderBootID = "X-Boot-Id"
)

// CrashMarker in a prompt makes the engine crash.
const CrashMarker = "please-crash-the-engine"

const (
	defaultMaxTokens = 32
	maxMaxTokens     = 4096
	maxRequestBytes  = 16 << 20
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is the body of POST /v1/chat/completions.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

// Completion is a whole answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the one choice of an answer; Message in a whole answer, Delta in a streamed chunk.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how much of the prompt was found in the prefix cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (e *Engine) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(PathCompletions, e.serveCompletion).Methods(http.MethodPost)
	r.HandleFunc(PathLoad, e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc(PathEvents, e.serveEvents).Methods(http.MethodGet)
	return r
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	if strings.Contains(string(raw), CrashMarker) {
		go e.server.Crash(crashDown)
		<-r.Context().Done()
		return
	}
	var req CompletionRequest
	if err := json.Unmarshal(raw, &req); err != nil || len(req.Messages) == 0 || req.Model != e.settings.Model {
		e.echo(w, r)
		http.Error(w, `{"error":{"message":"bad completion request or unknown model"}}`, http.StatusBadRequest)
		return
	}
	s := newSequence(&req, r)
	if !e.submit(s) {
		<-r.Context().Done()
		return
	}
	e.echo(w, r)
	if req.Stream {
		e.stream(w, r, s)
	} else {
		e.whole(w, r, s)
	}
}

func newSequence(req *CompletionRequest, r *http.Request) *sequence {
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	req.MaxTokens = min(req.MaxTokens, maxMaxTokens)
	prompt := tokenise(req.Messages)
	from, _ := strconv.Atoi(r.Header.Get(HeaderResumeFrom))
	from = max(0, min(from, req.MaxTokens))
	return &sequence{
		prompt: prompt, seed: promptSeed(prompt), emitted: from, maxTokens: req.MaxTokens,
		tokens: make(chan string, req.MaxTokens+1), gone: r.Context().Done(),
	}
}

// echo sets the headers that identify the request and the engine's run.
func (e *Engine) echo(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	if e.server.TakeCrossed() {
		id = "crossed-" + id
	}
	e.mu.Lock()
	boot := e.bootID
	e.mu.Unlock()
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderBootID, strconv.FormatUint(boot, 16))
}

func (e *Engine) usage(s *sequence) *Usage {
	return &Usage{
		PromptTokens: len(s.prompt), CompletionTokens: s.emitted, PromptDetails: PromptDetails{CachedTokens: s.cached},
	}
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, s *sequence) {
	var text strings.Builder
	for t := range s.tokens {
		text.WriteString(t)
	}
	if e.ended(s) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(Completion{
		ID: r.Header.Get(HeaderRequestID), Object: "chat.completion", Model: e.settings.Model, Usage: e.usage(s),
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: text.String()}, FinishReason: "stop"}},
	})
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	id := r.Header.Get(HeaderRequestID)
	for t := range s.tokens {
		e.chunk(w, Completion{
			ID: id, Object: "chat.completion.chunk", Model: e.settings.Model,
			Choices: []Choice{{Delta: &Message{Role: "assistant", Content: t}}},
		})
	}
	if e.ended(s) {
		panic(http.ErrAbortHandler)
	}
	e.chunk(w, Completion{
		ID: id, Object: "chat.completion.chunk", Model: e.settings.Model, Usage: e.usage(s),
		Choices: []Choice{{Delta: &Message{}, FinishReason: "stop"}},
	})
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) chunk(w http.ResponseWriter, c Completion) {
	e.server.WaitThawed()
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(w, "data: %s\n\n", raw)
	// A failed flush shows as a cancelled request context.
	_ = http.NewResponseController(w).Flush()
}

// ended reports whether the sequence ended before its last token.
func (e *Engine) ended(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.crashed || s.emitted < s.maxTokens
}
