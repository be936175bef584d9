package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// AskCmd sends one chat call and prints the response as it arrives.
type AskCmd struct {
	Entry  string        `help:"Address of an entry instance, ip:port." default:"127.0.0.1:7101" env:"RATTANWAY_ENTRY"`
	Key    string        `help:"The client account's key." env:"RATTANWAY_KEY"`
	Model  string        `help:"Model to call."`
	Tokens int           `help:"Largest number of tokens to generate." default:"16"`
	Retry  time.Duration `help:"How long to retry while the call is refused or the connection fails." default:"0s"`
	Prompt string        `arg:"" help:"The prompt."`
}

// chatMessage is one message of a chatCall.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatCall is the request body of a chat call.
type chatCall struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

// chatEvent holds the printed fields of one event of a streamed response.
type chatEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// errRefused means that the call was refused or got no response. Run then retries
// the call until AskCmd.Retry has passed.
var errRefused = errors.New("refused")

// Run implements the command.
func (c *AskCmd) Run(s *streams) error {
	deadline := time.Now().Add(c.Retry)
	for {
		err := c.sendCall(s.Out)
		if !errors.Is(err, errRefused) || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// sendCall makes the call once and prints the response to out.
func (c *AskCmd) sendCall(out io.Writer) error {
	body, err := json.Marshal(chatCall{
		Model: c.Model, Stream: true, MaxTokens: c.Tokens,
		Messages: []chatMessage{{Role: "user", Content: c.Prompt}},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Entry+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(errRefused, "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, mebibyte))
		return errors.Wrapf(errRefused, "status %d: %s", resp.StatusCode, bytes.TrimSpace(detail))
	}
	return printResponse(out, resp.Body)
}

// printResponse prints the text of the streamed events. It returns an error
// unless the stream contains the [DONE] event that marks a complete response.
func printResponse(out io.Writer, body io.Reader) error {
	complete := false
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, mebibyte)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var event chatEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return errors.Wrap(err, "answer")
		}
		for _, choice := range event.Choices {
			_, _ = fmt.Fprint(out, choice.Delta.Content)
		}
	}
	_, _ = fmt.Fprintln(out)
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "answer")
	}
	if !complete {
		return errors.New("the response ended before [DONE]")
	}
	return nil
}
