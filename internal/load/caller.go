// Package load sends the requests of a scenario to a fleet and reports the responses that its callers received.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/routing"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
)

// Callers is the content of the callers file: the entry addresses of a fleet and the API keys of its teams.
type Callers struct {
	EntryAddresses []string     `json:"entry_addresses"`
	Model          string       `json:"model"`
	Teams          []CallerTeam `json:"teams"`
}

// CallerTeam is a team and its API key.
type CallerTeam struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// Call is a single HTTP request.
type Call struct {
	Address        string
	Method         string
	Path           string
	Key            string
	ChatID         string
	IdempotencyKey string
	Body           []byte
}

// Result is the response to one call, as received by the caller.
type Result struct {
	Status         int
	Outcome        outcome.Outcome
	Earlier        outcome.Earlier
	Upstream       string
	Trace          string
	IdempotencyKey string
	Code           string
	RetryAfter     string
	FirstByte      time.Duration
	Duration       time.Duration
	Body           []byte
	// Complete reports whether the response body was read to its end. It is false if the body was truncated.
	Complete bool
}

// Caller sends calls over HTTP. It is safe for concurrent use.
type Caller struct {
	http *http.Client
}

// NewCaller returns a Caller that limits each call, including reading the response body, to timeout.
func NewCaller(timeout time.Duration) *Caller {
	return &Caller{http: &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Do sends one call and reads the response. It returns an error only if no response header was received; the result
// reports whether the body was truncated.
func (c *Caller) Do(ctx context.Context, call Call) (*Result, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	// Without GetBody, net/http cannot retry the request by itself.
	req.GetBody = nil
	setHeader(req.Header, "Authorization", "Bearer "+call.Key, call.Key != "")
	setHeader(req.Header, routing.HeaderChatID, call.ChatID, call.ChatID != "")
	setHeader(req.Header, "idempotency-key", call.IdempotencyKey, call.IdempotencyKey != "")
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s%s", call.Address, call.Path)
	}
	defer resp.Body.Close()
	result := &Result{
		Status:         resp.StatusCode,
		Outcome:        outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)),
		Earlier:        outcome.Earlier(resp.Header.Get(outcome.HeaderEarlier)),
		Upstream:       resp.Header.Get(outcome.HeaderUpstream),
		Trace:          resp.Header.Get(outcome.HeaderTrace),
		IdempotencyKey: resp.Header.Get(outcome.HeaderIdempotencyKey),
		RetryAfter:     resp.Header.Get("Retry-After"),
	}
	reader := bufio.NewReader(resp.Body)
	_, _ = reader.Peek(1)
	result.FirstByte = time.Since(start)
	result.Body, err = io.ReadAll(reader)
	result.Duration = time.Since(start)
	result.Complete = err == nil
	result.Code = refusalCode(result)
	return result, nil
}

// setHeader sets a header without canonicalising its name, because net/http retries requests that have the canonical
// Idempotency-Key header.
func setHeader(h http.Header, name, value string, set bool) {
	if set {
		h[name] = []string{value}
	}
}

func refusalCode(r *Result) string {
	if r.Status < http.StatusBadRequest {
		return ""
	}
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(r.Body, &body) != nil {
		return ""
	}
	return body.Error.Code
}

// ChatBody returns the JSON body of a chat completion request.
func ChatBody(model string, messages []engine.Message, stream bool, maxTokens int) ([]byte, error) {
	raw, err := json.Marshal(engine.CompletionRequest{Model: model, Messages: messages, Stream: stream, MaxTokens: maxTokens})
	return raw, errors.Wrap(err, "encode completion request")
}

// StreamText returns the text of a streamed response and whether the stream ended with the [DONE] event.
func StreamText(body []byte) (string, bool) {
	var text strings.Builder
	for line := range strings.Lines(string(body)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var chunk engine.Completion
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta == nil {
			return text.String(), false
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return text.String(), false
}

// StreamUsage returns the token counts that a streamed response reports in its last chunk, or nil if there are none.
func StreamUsage(body []byte) *engine.Usage {
	var usage *engine.Usage
	for line := range strings.Lines(string(body)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || !strings.Contains(data, `"usage"`) {
			continue
		}
		var chunk engine.Completion
		if json.Unmarshal([]byte(data), &chunk) == nil && chunk.Usage != nil {
			usage = chunk.Usage
		}
	}
	return usage
}
