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

// Answer takes a run's answer and writes it to the caller.
type Answer interface {
	Head(head *wirev1.Head) error
	Chunk(chunk *wirev1.Chunk) error
	// Finish ends the answer after the whole run.
	Finish(finishReason string, usage *wirev1.Usage) error
}

// ForModel returns the answer of a model request: streamed or whole.
func ForModel(x *pipeline.Exchange, request match.ModelRequest) Answer {
	shape := shape{id: x.ID, model: x.Model, created: time.Now().Unix(), chat: x.Request.URL.Path == match.PathChat}
	if request.Stream {
		return &streamAnswer{x: x, shape: shape, includeUsage: request.StreamOptions.IncludeUsage}
	}
	return &wholeAnswer{x: x, shape: shape}
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

type body struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   *usageBody `json:"usage,omitempty"`
}

// shape knows the differences between chat and plain completions.
type shape struct {
	id      string
	model   string
	created int64
	chat    bool
}

func (s shape) object(stream bool) string {
	switch {
	case s.chat && stream:
		return "chat.completion.chunk"
	case s.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func (s shape) body(stream bool, choices []choice, usage *usageBody) body {
	return body{ID: s.id, Object: s.object(stream), Created: s.created, Model: s.model, Choices: choices, Usage: usage}
}

func (s shape) delta(role, text string, finishReason *string) choice {
	if s.chat {
		return choice{Delta: &message{Role: role, Content: text}, FinishReason: finishReason}
	}
	return choice{Text: &text, FinishReason: finishReason}
}

func (s shape) whole(text, finishReason string) choice {
	if s.chat {
		return choice{Message: &message{Role: "assistant", Content: text}, FinishReason: &finishReason}
	}
	return choice{Text: &text, FinishReason: &finishReason}
}

func usageOf(usage *wirev1.Usage) *usageBody {
	return &usageBody{
		PromptTokens:     usage.GetPromptTokens(),
		CompletionTokens: usage.GetOutputTokens(),
		TotalTokens:      usage.GetPromptTokens() + usage.GetOutputTokens(),
		Details:          promptDetails{CachedTokens: usage.GetCachedTokens()},
	}
}

// wholeAnswer collects the text and writes one body.
type wholeAnswer struct {
	x     *pipeline.Exchange
	shape shape
	text  strings.Builder
}

func (a *wholeAnswer) Head(*wirev1.Head) error { return nil }

func (a *wholeAnswer) Chunk(chunk *wirev1.Chunk) error {
	a.text.Write(chunk.Data)
	return nil
}

func (a *wholeAnswer) Finish(finishReason string, usage *wirev1.Usage) error {
	a.x.Writer.Header().Set("Content-Type", contentTypeJSON)
	a.x.AnswerBegun = true
	choices := []choice{a.shape.whole(a.text.String(), finishReason)}
	return json.NewEncoder(a.x.Writer).Encode(a.shape.body(false, choices, usageOf(usage)))
}

// streamAnswer writes server-sent events as chunks arrive.
type streamAnswer struct {
	x            *pipeline.Exchange
	shape        shape
	includeUsage bool
}

func (a *streamAnswer) Head(*wirev1.Head) error { return nil }

func (a *streamAnswer) Chunk(chunk *wirev1.Chunk) error {
	role := ""
	if !a.x.AnswerBegun {
		a.begin()
		role = "assistant"
	}
	return a.event(a.shape.body(true, []choice{a.shape.delta(role, string(chunk.Data), nil)}, nil))
}

func (a *streamAnswer) begin() {
	header := a.x.Writer.Header()
	header.Set("Content-Type", contentTypeEvents)
	header.Set("Cache-Control", "no-store")
	a.x.AnswerBegun = true
}

func (a *streamAnswer) Finish(finishReason string, usage *wirev1.Usage) error {
	if !a.x.AnswerBegun {
		a.begin()
	}
	last := a.shape.body(true, []choice{a.shape.delta("", "", &finishReason)}, nil)
	if err := a.event(last); err != nil {
		return err
	}
	if a.includeUsage {
		if err := a.event(a.shape.body(true, []choice{}, usageOf(usage))); err != nil {
			return err
		}
	}
	return a.write("[DONE]")
}

func (a *streamAnswer) event(event body) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	return a.write(string(data))
}

func (a *streamAnswer) write(data string) error {
	if _, err := fmt.Fprintf(a.x.Writer, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(a.x.Writer).Flush()
}
