package gateway

import (
	"encoding/json"
	"slices"
	"strings"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/chatprompt"
)

// chatMessage is one message of a chat request.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
	Name    string          `json:"name"`
}

// chatRoles are the roles that a prompt can carry.
var chatRoles = []string{"system", "developer", "user", "assistant"}

// chatMessages joins the messages into the prompt.
func chatMessages(value json.RawMessage, request *generation) error {
	var messages []chatMessage
	if err := json.Unmarshal(value, &messages); err != nil || len(messages) == 0 {
		return apierror.Invalid("must be a non-empty array of messages")
	}
	joined := make([]chatprompt.Message, 0, len(messages))
	for i, message := range messages {
		if !slices.Contains(chatRoles, message.Role) {
			return apierror.Invalid("message %d: role must be one of %s", i, strings.Join(chatRoles, ", "))
		}
		content, err := messageText(message.Content)
		if err != nil {
			return apierror.Invalid("message %d: %s", i, messageOf(err))
		}
		joined = append(joined, chatprompt.Message{Role: message.Role, Content: content})
	}
	request.prompt = chatprompt.Join(joined)
	return nil
}

// messageText reads the content of a message, which is a string or an array of
// parts of type text.
func messageText(value json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(value, &text) == nil && !isNull(value) {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(value, &parts); err != nil || isNull(value) {
		return "", apierror.Invalid("content must be a string or an array of text parts")
	}
	var whole strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", apierror.Invalid("content part of type %q is not supported: only text is accepted", part.Type)
		}
		whole.WriteString(part.Text)
	}
	return whole.String(), nil
}
