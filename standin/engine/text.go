package engine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// DefaultMaxTokens is the number of tokens of a response if the request does not
// set max_tokens.
const DefaultMaxTokens = 16

// completionRequest holds the fields of an OpenAI-style request that the stand-in
// uses.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parseCompletionRequest decodes the body of a completion request and sets the
// default of max_tokens. A request without a model is an error.
func parseCompletionRequest(body []byte) (completionRequest, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return c, errors.Wrap(err, "request body")
	}
	if c.Model == "" {
		return c, errors.New("request body: no model")
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = DefaultMaxTokens
	}
	return c, nil
}

// promptText returns the prompt, or all messages of a chat, as one string.
func (c completionRequest) promptText() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.WriteByte(':')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// tokenSeed returns the seed of a response's tokens, which depends on the version
// and the prompt.
func tokenSeed(digest core.Digest, prompt string) uint64 {
	return xxhash.Sum64String(string(digest) + "\x00" + prompt)
}

// token returns the token with index i of the response with this seed.
func token(seed uint64, i int) string {
	hash := (seed + uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return fmt.Sprintf("%08x ", uint32(hash>>32))
}

// ExpectedText returns the text of the response to a request with this body from the
// version with this manifest digest. Tests use it to check responses.
func ExpectedText(digest core.Digest, body []byte) (string, error) {
	c, err := parseCompletionRequest(body)
	if err != nil {
		return "", err
	}
	seed := tokenSeed(digest, c.promptText())
	var b strings.Builder
	for i := range c.MaxTokens {
		b.WriteString(token(seed, i))
	}
	return b.String(), nil
}
