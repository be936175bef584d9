package engine

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/core"
)

// doneEvent is the last event of every complete stream.
const doneEvent = "data: [DONE]\n\n"

// streamTokens sends one event per token and reports whether it sent the complete
// stream.
func (e *Engine) streamTokens(ctx context.Context, c echo.Context, r activeRequest) bool {
	resp := c.Response()
	resp.Header().Set(echo.HeaderContentType, "text/event-stream")
	resp.WriteHeader(http.StatusOK)
	resp.Flush()
	before, after := eventFrame(r, r.digest)
	var event []byte
	for i := r.receivedTokenCount; i < r.MaxTokens; i++ {
		if !e.waitForToken(ctx, r, i) {
			return false
		}
		if r.faults.Cut && i >= r.faults.CutAfter {
			return false
		}
		if r.faults.Swap != "" && i == r.faults.SwapAfter {
			r.seed = tokenSeed(r.faults.Swap, r.promptText())
			before, after = eventFrame(r, r.faults.Swap)
		}
		event = append(append(append(event[:0], before...), token(r.seed, i)...), after...)
		if _, err := resp.Write(event); err != nil {
			return false
		}
		resp.Flush()
		e.countToken()
	}
	_, err := resp.Write([]byte(doneEvent))
	resp.Flush()
	return err == nil
}

// eventFrame returns the text before and after the token in each event.
func eventFrame(r activeRequest, digest core.Digest) (before, after string) {
	object, tokenStart, tokenEnd := "text_completion", `"text":"`, `"`
	if r.chat {
		object, tokenStart, tokenEnd = "chat.completion.chunk", `"delta":{"content":"`, `"}`
	}
	before = `data: {"id":` + strconv.Quote(r.id) + `,"object":"` + object + `","model":` + strconv.Quote(r.Model) +
		`,"system_fingerprint":"` + string(digest) + `","choices":[{"index":0,` + tokenStart
	after = tokenEnd + `,"finish_reason":null}]}` + "\n\n"
	return before, after
}

// completionResponse is the body of a response that is not streamed.
type completionResponse struct {
	ID          string   `json:"id"`
	Object      string   `json:"object"`
	Model       string   `json:"model"`
	Fingerprint string   `json:"system_fingerprint"`
	Choices     []choice `json:"choices"`
}

// choice is the single choice of a completionResponse.
type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

// sendCompletion sends the response as one JSON document and reports whether it
// sent it completely.
func (e *Engine) sendCompletion(ctx context.Context, c echo.Context, r activeRequest) bool {
	var text strings.Builder
	for i := r.receivedTokenCount; i < r.MaxTokens; i++ {
		if !e.waitForToken(ctx, r, i) {
			return false
		}
		text.WriteString(token(r.seed, i))
		e.countToken()
	}
	response := completionResponse{ID: r.id, Object: "text_completion", Model: r.Model, Fingerprint: string(r.digest)}
	completed := choice{FinishReason: "stop", Text: text.String()}
	if r.chat {
		response.Object = "chat.completion"
		completed = choice{FinishReason: "stop", Message: &message{Role: "assistant", Content: text.String()}}
	}
	response.Choices = []choice{completed}
	return c.JSON(http.StatusOK, response) == nil
}
