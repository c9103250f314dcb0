package routing

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// HeaderChatID is the name of the header with the ID of the chat that a request continues.
const HeaderChatID = "X-Chat-Id"

// identifyingMessages is the number of leading messages that identify a chat without a header: the system prompt and
// the first message of the user stay the same when the chat returns.
const identifyingMessages = 2

// RequestContent is the part of a request's body that routing uses.
type RequestContent struct {
	// Model is the requested model, or empty.
	Model    string            `json:"model"`
	Messages []json.RawMessage `json:"messages"`
}

// ParseContent parses the body of a request. If the body is not a completion request, it returns an empty content.
func ParseContent(body []byte) RequestContent {
	var c RequestContent
	if json.Unmarshal(body, &c) != nil {
		return RequestContent{}
	}
	return c
}

// ChatID returns the chat ID of a request: the header, else a hash of the first messages, else the trace ID, which
// distributes requests that belong to no chat evenly over a pool.
func (c RequestContent) ChatID(header http.Header, trace string) string {
	if id := header.Get(HeaderChatID); id != "" {
		return id
	}
	if len(c.Messages) == 0 {
		return trace
	}
	digest := xxhash.New()
	for _, m := range c.Messages[:min(identifyingMessages, len(c.Messages))] {
		// Writing to an xxhash digest cannot fail.
		_, _ = digest.Write(m)
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}
