// Package load drives a fleet with requests and reports what its callers saw.
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

// Callers is the file that says where a fleet is and with which keys to call it.
type Callers struct {
	EntryAddresses []string     `json:"entry_addresses"`
	Model          string       `json:"model"`
	Teams          []CallerTeam `json:"teams"`
}

// CallerTeam is one team with a key of its own.
type CallerTeam struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// Call is one request to make.
type Call struct {
	Address        string
	Method         string
	Path           string
	Key            string
	ChatID         string
	IdempotencyKey string
	Body           []byte
}

// Result is what a caller saw of one call.
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
	Took           time.Duration
	Body           []byte
	// Whole is false when the answer broke off.
	Whole bool
}

// Caller makes calls. It is safe for concurrent use.
type Caller struct {
	http *http.Client
}

// NewCaller returns a caller whose calls take no longer than timeout.
func NewCaller(timeout time.Duration) *Caller {
	return &Caller{http: &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Do makes one call. The error is non-nil only if no answer's header arrived.
func (c *Caller) Do(ctx context.Context, call Call) (*Result, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	// Without GetBody net/http cannot resend the request on its own.
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
	result.Took = time.Since(start)
	result.Whole = err == nil
	result.Code = refusalCode(result)
	return result, nil
}

// setHeader sets the header under exactly this name; net/http resends requests whose canonical Idempotency-Key is set.
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

// ChatBody returns a completion request.
func ChatBody(model string, messages []engine.Message, stream bool, maxTokens int) ([]byte, error) {
	raw, err := json.Marshal(engine.CompletionRequest{Model: model, Messages: messages, Stream: stream, MaxTokens: maxTokens})
	return raw, errors.Wrap(err, "encode completion request")
}

// StreamText returns the text of a streamed answer and whether the stream ended as it should.
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

// StreamUsage returns the token counts at the end of a streamed answer, or nil.
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
