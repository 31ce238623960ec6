package admit

import (
	"encoding/json"
	"hash/fnv"
)

// bytesPerToken turns the length of a prompt into an estimate of its tokens.
const bytesPerToken = 4

// measured is what a model request's body says about its size.
type measured struct {
	promptTokens int64
	prefix       uint64
	prefixTokens int64
	maxTokens    int
}

type sizedBody struct {
	Messages            []sizedMessage  `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

type sizedMessage struct {
	Content json.RawMessage `json:"content"`
}

// measure reads a body that match has found to be JSON. prefixBytes is how much
// of the prompt's beginning tells like prompts.
func measure(body []byte, prefixBytes int) measured {
	var sized sizedBody
	_ = json.Unmarshal(body, &sized)
	parts := make([]json.RawMessage, 0, len(sized.Messages)+1)
	parts = append(parts, sized.Prompt)
	for _, message := range sized.Messages {
		parts = append(parts, message.Content)
	}
	hash := fnv.New64a()
	total, hashed := 0, 0
	for _, part := range parts {
		total += len(part)
		taken := part[:min(len(part), prefixBytes-hashed)]
		hashed += len(taken)
		_, _ = hash.Write(taken)
	}
	found := measured{
		promptTokens: int64(max(1, total/bytesPerToken)),
		maxTokens:    max(sized.MaxTokens, sized.MaxCompletionTokens),
	}
	if hashed == prefixBytes {
		found.prefix = hash.Sum64()
		found.prefixTokens = int64(hashed / bytesPerToken)
	}
	return found
}
