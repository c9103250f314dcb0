package arrivals

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/orioleusher/orioleusher/internal/load/scenario"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
)

// chatPool holds the chats of one team and picks the chat of the next request.
type chatPool struct {
	options scenario.Chat
	team    string
	rng     *rand.Rand
	zipf    *rand.Zipf
	chats   []chat
}

// chat is one chat. Its messages grow with each turn.
type chat struct {
	generation int
	turns      int
	// readyAt is the time from which the chat may have its next turn.
	readyAt  time.Duration
	messages []engine.Message
}

func newChatPool(options scenario.Chat, t *scenario.Team, rng *rand.Rand) *chatPool {
	return &chatPool{
		options: options, team: t.Name, rng: rng, chats: make([]chat, t.Chats),
		zipf: rand.NewZipf(rng, t.ZipfExponent, 1, uint64(t.Chats-1)),
	}
}

// nextTurn picks a chat and returns its next turn. A chat that has had its last turn is replaced by a new one.
func (p *chatPool) nextTurn(now time.Duration) *ChatTurn {
	number := p.pickChat(now)
	c := &p.chats[number]
	if c.turns >= p.options.MaxTurns {
		*c = chat{generation: c.generation + 1}
	}
	c.readyAt = now + p.options.Pause.Std()
	id := fmt.Sprintf("%s-%d-%d", p.team, number, c.generation)
	c.messages = append(c.messages, p.userMessages(c, id)...)
	c.turns++
	turn := &ChatTurn{ID: id, Messages: slices.Clone(c.messages)}
	turn.ExpectedText = engine.AnswerText(turn.Messages, p.options.AnswerTokens)
	c.messages = append(c.messages, engine.Message{Role: "assistant", Content: turn.ExpectedText})
	return turn
}

// pickChat draws a chat by popularity and returns its index or, if the chat is within its pause, the index of the next
// chat that is not. If all chats are, it adds a new one.
func (p *chatPool) pickChat(now time.Duration) int {
	drawn := int(p.zipf.Uint64())
	for i := range p.chats {
		number := (drawn + i) % len(p.chats)
		if p.chats[number].readyAt <= now {
			return number
		}
	}
	p.chats = append(p.chats, chat{})
	return len(p.chats) - 1
}

func (p *chatPool) userMessages(c *chat, id string) []engine.Message {
	if c.turns > 0 {
		return []engine.Message{{Role: "user", Content: uniqueText(id, c.turns, p.options.TurnTokens)}}
	}
	return []engine.Message{
		{Role: "system", Content: uniqueText(p.team, 0, p.options.SystemTokens)},
		{Role: "user", Content: uniqueText(id, 0, p.options.HistoryTokens)},
	}
}

// uniqueText returns a text of n words that no other owner or turn has.
func uniqueText(owner string, turn, n int) string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s.%d.%d", owner, turn, i)
	}
	return strings.Join(list, " ")
}
