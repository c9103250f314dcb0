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

// chatBook holds the chats of one team and picks the one that returns next.
type chatBook struct {
	shape scenario.Chat
	team  string
	rnd   *rand.Rand
	zipf  *rand.Zipf
	chats []chat
}

// chat is one chat; its messages grow with each turn.
type chat struct {
	generation int
	turns      int
	// ready is when the chat may return.
	ready    time.Duration
	messages []engine.Message
}

func newChatBook(shape scenario.Chat, t *scenario.Team, rnd *rand.Rand) *chatBook {
	return &chatBook{
		shape: shape, team: t.Name, rnd: rnd, chats: make([]chat, t.Chats),
		zipf: rand.NewZipf(rnd, t.ZipfExponent, 1, uint64(t.Chats-1)),
	}
}

// next returns the next turn of the chat that returns now. A chat that had its last turn starts again as a new one.
func (b *chatBook) next(now time.Duration) *ChatTurn {
	number := b.pick(now)
	c := &b.chats[number]
	if c.turns >= b.shape.MaxTurns {
		*c = chat{generation: c.generation + 1}
	}
	c.ready = now + b.shape.Pause.Std()
	id := fmt.Sprintf("%s-%d-%d", b.team, number, c.generation)
	c.messages = append(c.messages, b.userMessages(c, id)...)
	c.turns++
	turn := &ChatTurn{ID: id, Messages: slices.Clone(c.messages)}
	turn.Answer = engine.AnswerText(turn.Messages, b.shape.AnswerTokens)
	c.messages = append(c.messages, engine.Message{Role: "assistant", Content: turn.Answer})
	return turn
}

// pick returns the number of the most popular chat from a drawn one on that does not pause. If all pause, a new chat
// joins the book.
func (b *chatBook) pick(now time.Duration) int {
	drawn := int(b.zipf.Uint64())
	for i := range b.chats {
		number := (drawn + i) % len(b.chats)
		if b.chats[number].ready <= now {
			return number
		}
	}
	b.chats = append(b.chats, chat{})
	return len(b.chats) - 1
}

func (b *chatBook) userMessages(c *chat, id string) []engine.Message {
	if c.turns > 0 {
		return []engine.Message{{Role: "user", Content: words(id, c.turns, b.shape.TurnTokens)}}
	}
	return []engine.Message{
		{Role: "system", Content: words(b.team, 0, b.shape.SystemTokens)},
		{Role: "user", Content: words(id, 0, b.shape.HistoryTokens)},
	}
}

// words returns a text of n words that no other owner and turn shares.
func words(owner string, turn, n int) string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s.%d.%d", owner, turn, i)
	}
	return strings.Join(list, " ")
}
