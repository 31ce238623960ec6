package render

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"flamingospar.org/entry/match"
	"flamingospar.org/entry/pipeline"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Response writes the output of a run to the caller.
type Response interface {
	Head(head *wirev1.Head) error
	Chunk(chunk *wirev1.Chunk) error
	// Finish completes the response after the run has ended.
	Finish(finishReason string, usage *wirev1.Usage) error
}

// ForModel returns the Response of a model request: an event stream if the
// request asks for one, else a single body.
func ForModel(x *pipeline.Exchange, request match.ModelRequest) Response {
	format := completionFormat{id: x.ID, model: x.Model, created: time.Now().Unix(), chat: x.Request.URL.Path == match.PathChat}
	if request.Stream {
		return &streamResponse{x: x, format: format, includeUsage: request.StreamOptions.IncludeUsage}
	}
	return &fullResponse{x: x, format: format}
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type promptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

type usageBody struct {
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	TotalTokens      int64         `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type completionBody struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   *usageBody `json:"usage,omitempty"`
}

// completionFormat builds the bodies of chat and plain text completions.
type completionFormat struct {
	id      string
	model   string
	created int64
	chat    bool
}

func (f completionFormat) object(stream bool) string {
	switch {
	case f.chat && stream:
		return "chat.completion.chunk"
	case f.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func (f completionFormat) body(stream bool, choices []choice, usage *usageBody) completionBody {
	return completionBody{ID: f.id, Object: f.object(stream), Created: f.created, Model: f.model, Choices: choices, Usage: usage}
}

func (f completionFormat) chunkChoice(role, text string, finishReason *string) choice {
	if f.chat {
		return choice{Delta: &message{Role: role, Content: text}, FinishReason: finishReason}
	}
	return choice{Text: &text, FinishReason: finishReason}
}

func (f completionFormat) fullChoice(text, finishReason string) choice {
	if f.chat {
		return choice{Message: &message{Role: "assistant", Content: text}, FinishReason: &finishReason}
	}
	return choice{Text: &text, FinishReason: &finishReason}
}

func newUsageBody(usage *wirev1.Usage) *usageBody {
	return &usageBody{
		PromptTokens:     usage.GetPromptTokens(),
		CompletionTokens: usage.GetOutputTokens(),
		TotalTokens:      usage.GetPromptTokens() + usage.GetOutputTokens(),
		Details:          promptDetails{CachedTokens: usage.GetCachedTokens()},
	}
}

// fullResponse collects the text and writes a single body.
type fullResponse struct {
	x      *pipeline.Exchange
	format completionFormat
	text   strings.Builder
}

func (r *fullResponse) Head(*wirev1.Head) error { return nil }

func (r *fullResponse) Chunk(chunk *wirev1.Chunk) error {
	r.text.Write(chunk.Data)
	return nil
}

func (r *fullResponse) Finish(finishReason string, usage *wirev1.Usage) error {
	r.x.Writer.Header().Set("Content-Type", contentTypeJSON)
	r.x.ResponseStarted = true
	choices := []choice{r.format.fullChoice(r.text.String(), finishReason)}
	return json.NewEncoder(r.x.Writer).Encode(r.format.body(false, choices, newUsageBody(usage)))
}

// streamResponse writes server-sent events as chunks arrive.
type streamResponse struct {
	x            *pipeline.Exchange
	format       completionFormat
	includeUsage bool
}

func (r *streamResponse) Head(*wirev1.Head) error { return nil }

func (r *streamResponse) Chunk(chunk *wirev1.Chunk) error {
	role := ""
	if !r.x.ResponseStarted {
		r.begin()
		role = "assistant"
	}
	return r.writeEvent(r.format.body(true, []choice{r.format.chunkChoice(role, string(chunk.Data), nil)}, nil))
}

func (r *streamResponse) begin() {
	header := r.x.Writer.Header()
	header.Set("Content-Type", contentTypeEventStream)
	header.Set("Cache-Control", "no-store")
	r.x.ResponseStarted = true
}

func (r *streamResponse) Finish(finishReason string, usage *wirev1.Usage) error {
	if !r.x.ResponseStarted {
		r.begin()
	}
	last := r.format.body(true, []choice{r.format.chunkChoice("", "", &finishReason)}, nil)
	if err := r.writeEvent(last); err != nil {
		return err
	}
	if r.includeUsage {
		if err := r.writeEvent(r.format.body(true, []choice{}, newUsageBody(usage))); err != nil {
			return err
		}
	}
	return r.writeData("[DONE]")
}

func (r *streamResponse) writeEvent(event completionBody) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	return r.writeData(string(data))
}

func (r *streamResponse) writeData(data string) error {
	if _, err := fmt.Fprintf(r.x.Writer, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(r.x.Writer).Flush()
}
