// Package chatprompt joins the messages of a chat into the single prompt text
// that an engine accepts. The format is the same for every model.
package chatprompt

import "strings"

// Message is one message of a chat.
type Message struct {
	Role, Content string
}

// Markers of the prompt format.
const (
	roleOpen  = "<|"
	roleClose = "|>\n"
	turnEnd   = "\n"
	// escapedRoleOpen replaces roleOpen inside a content, so that no content can imitate
	// a message of another role.
	escapedRoleOpen = "< |"
)

// Join returns the prompt, which ends where the assistant's answer begins.
func Join(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(roleOpen + message.Role + roleClose)
		prompt.WriteString(strings.ReplaceAll(message.Content, roleOpen, escapedRoleOpen))
		prompt.WriteString(turnEnd)
	}
	prompt.WriteString(roleOpen + "assistant" + roleClose)
	return prompt.String()
}
