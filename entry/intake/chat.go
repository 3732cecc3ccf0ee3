package intake

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"

	"github.com/wardspool/wardspool/tokens"
)

// message is a chat message whose content is a string or a list of text parts.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// part is one part of a message's content.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// partText is the only supported type of part.
const partText = "text"

// messages reads the messages of a chat and returns the prompt text that they
// form.
func (r *bodyReader) messages() string {
	var list []*message
	if !r.read("messages", &list, "an array of messages") {
		r.fail("messages", "is missing")
		return ""
	}
	if len(list) == 0 {
		r.fail("messages", "is empty")
		return ""
	}
	flat := make([]tokens.Message, len(list))
	hasParts := false
	for i, m := range list {
		if m == nil {
			r.fail("messages", fmt.Sprintf("has null in place of a message, at index %d", i))
			return ""
		}
		text, split, ok := m.text()
		if !ok {
			r.fail("messages", fmt.Sprintf("has content that is not text, at index %d", i))
			return ""
		}
		hasParts = hasParts || split
		flat[i] = tokens.Message{Role: m.Role, Content: text}
	}
	if hasParts {
		r.joinParts(flat)
	}
	return tokens.FlattenChat(flat)
}

// text returns the text of a message and whether it was split into parts. It
// returns false for ok if the content is not text only.
func (m *message) text() (text string, split, ok bool) {
	if len(m.Content) == 0 || string(m.Content) == "null" {
		return "", false, true
	}
	if json.Unmarshal(m.Content, &text) == nil {
		return text, false, true
	}
	var list []part
	if json.Unmarshal(m.Content, &list) != nil {
		return "", false, false
	}
	var b strings.Builder
	for _, p := range list {
		if p.Type != partText {
			return "", false, false
		}
		b.WriteString(p.Text)
	}
	return b.String(), true, true
}

// joinParts replaces the content of the messages by their joined text, for engines
// that accept only strings. It keeps the other members of each message.
func (r *bodyReader) joinParts(flat []tokens.Message) {
	var rawMessages []map[string]json.RawMessage
	// The error is ignored: messages has decoded the member before.
	_ = json.Unmarshal(r.members["messages"], &rawMessages)
	for i := range rawMessages {
		// Decoders may match the names of members without regard to case.
		maps.DeleteFunc(rawMessages[i], func(name string, _ json.RawMessage) bool {
			return strings.EqualFold(name, "content")
		})
		content, _ := json.Marshal(flat[i].Content)
		rawMessages[i]["content"] = content
	}
	r.set("messages", rawMessages)
}
