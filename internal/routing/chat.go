package routing

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// HeaderChatID names the chat that a request continues.
const HeaderChatID = "X-Chat-Id"

// identifyingMessages is the number of leading messages that identify a chat without a header: the system prompt and
// the first message of the user stay the same when the chat returns.
const identifyingMessages = 2

// ChatID returns the chat of a request: the header, else a hash of the first messages, else the trace, which spreads
// requests that belong to no chat evenly over a pool.
func ChatID(header http.Header, body []byte, trace string) string {
	if id := header.Get(HeaderChatID); id != "" {
		return id
	}
	var request struct {
		Messages []json.RawMessage `json:"messages"`
	}
	if json.Unmarshal(body, &request) != nil || len(request.Messages) == 0 {
		return trace
	}
	digest := xxhash.New()
	for _, m := range request.Messages[:min(identifyingMessages, len(request.Messages))] {
		// Writing to an xxhash digest cannot fail.
		_, _ = digest.Write(m)
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}
