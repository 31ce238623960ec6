package admit

import (
	"encoding/json"
	"hash/fnv"
)

// bytesPerToken is the prompt length per token that is used to estimate the number
// of tokens.
const bytesPerToken = 4

// bodyMeasures is the size information in the body of a model request.
type bodyMeasures struct {
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

// measureBody measures a body that the match filter has accepted as JSON. Prompts
// with the same first prefixBytes bytes have the same prefix; shorter prompts have
// none.
func measureBody(body []byte, prefixBytes int) bodyMeasures {
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
	found := bodyMeasures{
		promptTokens: int64(max(1, total/bytesPerToken)),
		maxTokens:    max(sized.MaxTokens, sized.MaxCompletionTokens),
	}
	if hashed == prefixBytes {
		found.prefix = hash.Sum64()
		found.prefixTokens = int64(hashed / bytesPerToken)
	}
	return found
}
