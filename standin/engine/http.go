package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/go-chi/chi/v5"

	port "flamingospar.org/platform/engine"
	"flamingospar.org/standin/engine/batch"
)

// PathPrompts answers with the counts of Prompts, for tests in other processes.
const PathPrompts = "/-/prompts"

// Shape of the stand-in's tokens.
const (
	bytesPerToken       = 4
	defaultOutputTokens = 16
	prefixBytes         = 256 // The part of a prompt that can be cached.
)

type requestBody struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Prompt              string `json:"prompt"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	Stream              bool   `json:"stream"`
	StreamOptions       struct {
		ContinuousUsage bool `json:"continuous_usage_stats"`
	} `json:"stream_options"`
}

var runNumber atomic.Int64

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", e.generate)
	router.Post("/v1/completions", e.generate)
	router.Get("/load", e.load)
	router.Get(PathPrompts, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e.Prompts()) })
	e.Control.Routes(router)
	return router
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	running, queued := e.batch.Counts()
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(port.Load{Running: running, Queued: queued, Model: e.Control.Model(), Role: e.Control.State().Role})
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var body requestBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if body.Model != e.Control.Model() {
		http.Error(w, "model not loaded", http.StatusNotFound)
		return
	}
	prompt := promptOf(body)
	run := runOf(r, body, prompt)
	seed := e.currentFaults().Variant + prompt
	if run.Skip > 0 && !continues(seed, run.Skip, r.Header.Get(port.HeaderResumeDigest)) {
		http.Error(w, "the answer would differ", http.StatusConflict)
		return
	}
	emissions := e.start(run, prompt)
	defer e.cancel(run.ID)
	if e.crashes(prompt) {
		<-r.Context().Done()
		return
	}
	writer := answerWriter{
		w:          w,
		engine:     e,
		chat:       strings.Contains(r.URL.Path, "chat"),
		run:        run,
		model:      body.Model,
		prompt:     seed,
		continuous: body.StreamOptions.ContinuousUsage,
	}
	if body.Stream {
		writer.stream(r, emissions)
		return
	}
	writer.whole(r, emissions)
}

func promptOf(body requestBody) string {
	var prompt strings.Builder
	prompt.WriteString(body.Prompt)
	for _, message := range body.Messages {
		var text string
		if json.Unmarshal(message.Content, &text) != nil {
			text = string(message.Content)
		}
		prompt.WriteString(text)
	}
	return prompt.String()
}

func runOf(r *http.Request, body requestBody, prompt string) batch.Run {
	id := r.Header.Get(port.HeaderRunID)
	if id == "" {
		id = fmt.Sprintf("direct-%d", runNumber.Add(1))
	}
	priority, _ := strconv.Atoi(r.Header.Get(port.HeaderPriority))
	skip, _ := strconv.Atoi(r.Header.Get(port.HeaderResumeTokens))
	output := max(body.MaxTokens, body.MaxCompletionTokens)
	if output == 0 {
		output = defaultOutputTokens
	}
	prefix := prompt[:min(len(prompt), prefixBytes)]
	hash := fnv.New64a()
	hash.Write([]byte(prefix))
	return batch.Run{
		ID:           id,
		Prefix:       hash.Sum64(),
		PrefixTokens: len(prefix) / bytesPerToken,
		PromptTokens: max(1, len(prompt)/bytesPerToken),
		OutputTokens: output,
		Skip:         skip,
		Priority:     int32(priority),
	}
}

type answerWriter struct {
	w          http.ResponseWriter
	engine     *Engine
	chat       bool
	run        batch.Run
	model      string
	prompt     string
	continuous bool // Each event carries the usage until there.
}

func (a answerWriter) stream(r *http.Request, emissions <-chan batch.Emission) {
	a.w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(a.w)
	for {
		select {
		case emission := <-emissions:
			if a.engine.currentFaults().Mute {
				<-r.Context().Done()
				return
			}
			a.event(a.deltaBody(emission))
			if emission.Last {
				a.event(map[string]any{"choices": []any{}, "usage": a.usage(emission)})
				fmt.Fprint(a.w, "data: [DONE]\n\n")
				return
			}
			_ = flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func (a answerWriter) event(body any) {
	data, _ := json.Marshal(body)
	fmt.Fprintf(a.w, "data: %s\n\n", data)
}

func (a answerWriter) deltaBody(emission batch.Emission) any {
	word := Word(a.prompt, emission.Index)
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if emission.Last {
		choice["finish_reason"] = "stop"
	}
	if a.chat {
		choice["delta"] = map[string]any{"content": word}
	} else {
		choice["text"] = word
	}
	body := map[string]any{"id": a.run.ID, "model": a.model, "tokens": 1, "choices": []any{choice}}
	if a.continuous {
		body["usage"] = a.usage(emission)
	}
	return body
}

func (a answerWriter) usage(emission batch.Emission) any {
	return map[string]any{
		"prompt_tokens":         a.run.PromptTokens,
		"completion_tokens":     emission.Index + 1,
		"total_tokens":          a.run.PromptTokens + emission.Index + 1,
		"prompt_tokens_details": map[string]any{"cached_tokens": emission.Cached},
	}
}

func (a answerWriter) whole(r *http.Request, emissions <-chan batch.Emission) {
	for {
		select {
		case emission := <-emissions:
			if !emission.Last {
				continue
			}
			text := Text(a.prompt, emission.Index+1)
			choice := map[string]any{"index": 0, "finish_reason": "stop", "text": text}
			if a.chat {
				delete(choice, "text")
				choice["message"] = map[string]any{"role": "assistant", "content": text}
			}
			body := map[string]any{"id": a.run.ID, "model": a.model, "choices": []any{choice}, "usage": a.usage(emission)}
			a.w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(a.w).Encode(body)
			return
		case <-r.Context().Done():
			return
		}
	}
}
