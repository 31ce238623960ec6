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

	engineapi "flamingospar.org/platform/engine"
	"flamingospar.org/standin/engine/batch"
)

// PathPrompts is the path that serves PromptCounts to tests in other processes.
const PathPrompts = "/-/prompts"

// Token sizes of the simulated engine.
const (
	bytesPerToken        = 4
	defaultOutputTokens  = 16
	cacheablePrefixBytes = 256 // Length of the prompt prefix that can be cached.
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

// lastDirectRun is the number of the last run that arrived without a run ID.
var lastDirectRun atomic.Int64

// Handler returns a handler that serves the engine's API over HTTP.
func (e *Engine) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", e.serveCompletion)
	router.Post("/v1/completions", e.serveCompletion)
	router.Get("/load", e.serveLoad)
	router.Get(PathPrompts, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e.PromptCounts()) })
	e.Control.Routes(router)
	return router
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	running, queued := e.batch.Counts()
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(engineapi.Load{Running: running, Queued: queued, Model: e.Control.Model(), Role: e.Control.State().Role})
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body requestBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if body.Model != e.Control.Model() {
		http.Error(w, "the model is not loaded", http.StatusNotFound)
		return
	}
	prompt := promptText(body)
	run := newRun(r, body, prompt)
	seed := e.currentFaults().Variant + prompt
	if run.ResumeTokens > 0 && !matchesDigest(seed, run.ResumeTokens, r.Header.Get(engineapi.HeaderResumeDigest)) {
		http.Error(w, "the resumed output would differ from the text sent so far", http.StatusConflict)
		return
	}
	emissions := e.start(run, prompt)
	defer e.cancel(run.ID)
	if e.crashIfPoisoned(prompt) {
		<-r.Context().Done()
		return
	}
	writer := completionWriter{
		w:               w,
		engine:          e,
		chat:            strings.Contains(r.URL.Path, "chat"),
		run:             run,
		model:           body.Model,
		prompt:          seed,
		continuousUsage: body.StreamOptions.ContinuousUsage,
	}
	if body.Stream {
		writer.writeStream(r, emissions)
		return
	}
	writer.writeFull(r, emissions)
}

func promptText(body requestBody) string {
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

func newRun(r *http.Request, body requestBody, prompt string) batch.Run {
	id := r.Header.Get(engineapi.HeaderRunID)
	if id == "" {
		id = fmt.Sprintf("direct-%d", lastDirectRun.Add(1))
	}
	priority, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderPriority))
	resumeTokens, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderResumeTokens))
	outputTokens := max(body.MaxTokens, body.MaxCompletionTokens)
	if outputTokens == 0 {
		outputTokens = defaultOutputTokens
	}
	prefix := prompt[:min(len(prompt), cacheablePrefixBytes)]
	hash := fnv.New64a()
	hash.Write([]byte(prefix))
	return batch.Run{
		ID:           id,
		Prefix:       hash.Sum64(),
		PrefixTokens: len(prefix) / bytesPerToken,
		PromptTokens: max(1, len(prompt)/bytesPerToken),
		OutputTokens: outputTokens,
		ResumeTokens: resumeTokens,
		Priority:     int32(priority),
	}
}

// completionWriter writes the response to one completion request.
type completionWriter struct {
	w               http.ResponseWriter
	engine          *Engine
	chat            bool
	run             batch.Run
	model           string
	prompt          string
	continuousUsage bool // Each event carries the usage so far.
}

// writeStream writes each emission as a server-sent event.
func (c completionWriter) writeStream(r *http.Request, emissions <-chan batch.Emission) {
	c.w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(c.w)
	for {
		select {
		case emission := <-emissions:
			if c.engine.currentFaults().StallStreams {
				<-r.Context().Done()
				return
			}
			c.writeEvent(c.chunkBody(emission))
			if emission.Last {
				c.writeEvent(map[string]any{"choices": []any{}, "usage": c.usage(emission)})
				fmt.Fprint(c.w, "data: [DONE]\n\n")
				return
			}
			_ = flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func (c completionWriter) writeEvent(body any) {
	data, _ := json.Marshal(body)
	fmt.Fprintf(c.w, "data: %s\n\n", data)
}

func (c completionWriter) chunkBody(emission batch.Emission) any {
	text := TokenText(c.prompt, emission.Index)
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if emission.Last {
		choice["finish_reason"] = "stop"
	}
	if c.chat {
		choice["delta"] = map[string]any{"content": text}
	} else {
		choice["text"] = text
	}
	body := map[string]any{"id": c.run.ID, "model": c.model, "tokens": 1, "choices": []any{choice}}
	if c.continuousUsage {
		body["usage"] = c.usage(emission)
	}
	return body
}

func (c completionWriter) usage(emission batch.Emission) any {
	return map[string]any{
		"prompt_tokens":         c.run.PromptTokens,
		"completion_tokens":     emission.Index + 1,
		"total_tokens":          c.run.PromptTokens + emission.Index + 1,
		"prompt_tokens_details": map[string]any{"cached_tokens": emission.CachedTokens},
	}
}

// writeFull waits for the last emission and writes one JSON response.
func (c completionWriter) writeFull(r *http.Request, emissions <-chan batch.Emission) {
	for {
		select {
		case emission := <-emissions:
			if !emission.Last {
				continue
			}
			text := Text(c.prompt, emission.Index+1)
			choice := map[string]any{"index": 0, "finish_reason": "stop", "text": text}
			if c.chat {
				delete(choice, "text")
				choice["message"] = map[string]any{"role": "assistant", "content": text}
			}
			body := map[string]any{"id": c.run.ID, "model": c.model, "choices": []any{choice}, "usage": c.usage(emission)}
			c.w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(c.w).Encode(body)
			return
		case <-r.Context().Done():
			return
		}
	}
}
