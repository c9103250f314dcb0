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

// Paths of the engine's HTTP API.
const (
	PathCompletions = "/v1/chat/completions"
	PathLoad        = "/v1/load"
	PathEvents      = "/v1/cache/events"
)

// Headers of the engine's HTTP API.
const (
	// HeaderRequestID is copied from the request to the response.
	HeaderRequestID = "X-Request-Id"
	// HeaderResumeFrom is the index of the first token to generate.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderBootID identifies the engine's start. Each response carries it.
	HeaderBootID = "X-Boot-Id"
)

// CrashMarker makes the engine crash if a request body contains it.
const CrashMarker = "please-crash-the-engine"

const (
	defaultMaxTokens = 32
	maxTokensLimit   = 4096
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

// Completion is the response body, or one chunk of a streamed response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the only choice of a completion. Message is set in a complete response, Delta in a streamed chunk.
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

// PromptDetails counts the prompt tokens that were found in the prefix cache.
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
		go e.server.Crash(crashDowntime)
		<-r.Context().Done()
		return
	}
	var req CompletionRequest
	if err := json.Unmarshal(raw, &req); err != nil || len(req.Messages) == 0 || req.Model != e.settings.Model {
		e.setIDHeaders(w, r)
		http.Error(w, `{"error":{"message":"bad completion request or unknown model"}}`, http.StatusBadRequest)
		return
	}
	s := newSequence(&req, r)
	if !e.submit(s) {
		<-r.Context().Done()
		return
	}
	e.setIDHeaders(w, r)
	if req.Stream {
		e.streamCompletion(w, r, s)
	} else {
		e.writeCompletion(w, r, s)
	}
}

func newSequence(req *CompletionRequest, r *http.Request) *sequence {
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	req.MaxTokens = min(req.MaxTokens, maxTokensLimit)
	prompt := tokenise(req.Messages)
	firstToken, _ := strconv.Atoi(r.Header.Get(HeaderResumeFrom))
	firstToken = max(0, min(firstToken, req.MaxTokens))
	return &sequence{
		prompt: prompt, seed: promptSeed(prompt), emitted: firstToken, maxTokens: req.MaxTokens,
		tokens: make(chan string, req.MaxTokens+1), clientGone: r.Context().Done(),
	}
}

// setIDHeaders sets the response headers that identify the request and the engine's start.
func (e *Engine) setIDHeaders(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	if e.server.ConsumeCrossed() {
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
		PromptTokens: len(s.prompt), CompletionTokens: s.emitted, PromptDetails: PromptDetails{CachedTokens: s.cachedTokens},
	}
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, s *sequence) {
	var text strings.Builder
	for t := range s.tokens {
		text.WriteString(t)
	}
	if e.endedEarly(s) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	// An encoding error means that the client has disconnected; no other response is possible.
	_ = json.NewEncoder(w).Encode(Completion{
		ID: r.Header.Get(HeaderRequestID), Object: "chat.completion", Model: e.settings.Model, Usage: e.usage(s),
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: text.String()}, FinishReason: "stop"}},
	})
}

func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	id := r.Header.Get(HeaderRequestID)
	for t := range s.tokens {
		e.writeChunk(w, Completion{
			ID: id, Object: "chat.completion.chunk", Model: e.settings.Model,
			Choices: []Choice{{Delta: &Message{Role: "assistant", Content: t}}},
		})
	}
	if e.endedEarly(s) {
		panic(http.ErrAbortHandler)
	}
	e.writeChunk(w, Completion{
		ID: id, Object: "chat.completion.chunk", Model: e.settings.Model, Usage: e.usage(s),
		Choices: []Choice{{Delta: &Message{}, FinishReason: "stop"}},
	})
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) writeChunk(w http.ResponseWriter, c Completion) {
	e.server.WaitWhileFrozen()
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(w, "data: %s\n\n", raw)
	// After a failed flush the request context is cancelled.
	_ = http.NewResponseController(w).Flush()
}

// endedEarly reports whether the sequence stopped before its last token.
func (e *Engine) endedEarly(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.crashed || s.emitted < s.maxTokens
}
