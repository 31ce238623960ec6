package match

import (
	"bytes"
	"encoding/json"
	"slices"

	"flamingospar.org/core/refusal"
)

// maxQuotedBytes limits how much of a caller's text an error message quotes.
const maxQuotedBytes = 64

// ModelRequest holds the fields of a model request's body that the entry reads.
type ModelRequest struct {
	Model         string
	Stream        bool
	StreamOptions StreamOptions
}

// StreamOptions selects what a stream contains in addition to the text.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// fields maps the exact names of a body's fields to their values. Decoding into a
// struct would accept "Model" as "model", which an engine doesn't.
type fields map[string]json.RawMessage

// Decode decodes the body of a model request that the filter has already checked.
func Decode(body []byte) (ModelRequest, error) {
	decoded, refused := decodeFields(body)
	if refused != nil {
		return ModelRequest{}, refused
	}
	return requestOf(decoded), nil
}

func requestOf(f fields) ModelRequest {
	var request ModelRequest
	_ = json.Unmarshal(f["model"], &request.Model)
	_ = json.Unmarshal(f["stream"], &request.Stream)
	_ = json.Unmarshal(f["stream_options"], &request.StreamOptions)
	return request
}

func decodeFields(body []byte) (fields, *refusal.Refusal) {
	var decoded fields
	if err := json.Unmarshal(body, &decoded); err != nil {
		return nil, refusal.New(refusal.BodyInvalid, "the body is not a JSON object: %v", err)
	}
	if decoded == nil {
		return nil, refusal.New(refusal.BodyInvalid, "the body is not a JSON object")
	}
	return decoded, nil
}

// fieldRule defines which values of a field are accepted.
type fieldRule struct {
	name  string
	want  string
	valid func(value json.RawMessage) bool
}

// typeRules check the types of the fields that the entry reads.
var typeRules = []fieldRule{
	{"model", "a string", isType[string]},
	{"stream", "true or false", isType[bool]},
	{"stream_options", "an object with include_usage", isType[StreamOptions]},
	{"max_tokens", "a whole number above 0", isPositiveInt},
	{"max_completion_tokens", "a whole number above 0", isPositiveInt},
	{"n", "a whole number above 0", isPositiveInt},
}

// supportedValueRules restrict fields that would change the answer in a way that the
// entry can't pass on. Fields not listed here are sent to the engine unchanged.
var supportedValueRules = []fieldRule{
	{"n", "1", isOne},
	{"best_of", "1", isOne},
	{"tools", "no tools", isEmpty},
	{"functions", "no functions", isEmpty},
	{"logprobs", "false", isEmpty},
	{"top_logprobs", "0", isEmpty},
	{"echo", "false", isEmpty},
	{"audio", "no audio", isEmpty},
	{"modalities", `["text"]`, isTextOnly},
}

func checkFields(f fields, path string) *refusal.Refusal {
	if refused := applyRules(f, typeRules, refusal.BodyInvalid); refused != nil {
		return refused
	}
	if _, ok := f["model"]; !ok {
		return refusal.New(refusal.BodyInvalid, "the field model is missing").WithParam("model")
	}
	if refused := applyRules(f, supportedValueRules, refusal.FieldUnsupported); refused != nil {
		return refused
	}
	if path == PathChat {
		return checkMessages(f["messages"])
	}
	return checkPrompt(f["prompt"])
}

func applyRules(f fields, rules []fieldRule, code refusal.Code) *refusal.Refusal {
	for _, rule := range rules {
		value, present := f[rule.name]
		if !present || isNull(value) || rule.valid(value) {
			continue
		}
		return refusal.New(code, "the field %s must be %s", rule.name, rule.want).WithParam(rule.name)
	}
	return nil
}

func checkMessages(value json.RawMessage) *refusal.Refusal {
	var messages []struct {
		Role string `json:"role"`
	}
	if json.Unmarshal(value, &messages) != nil || len(messages) == 0 {
		return refusal.New(refusal.BodyInvalid, "the field messages must be a list of at least one message").WithParam("messages")
	}
	for _, message := range messages {
		if message.Role == "" {
			return refusal.New(refusal.BodyInvalid, "each message needs a role").WithParam("messages")
		}
	}
	return nil
}

func checkPrompt(value json.RawMessage) *refusal.Refusal {
	if isType[string](value) || isType[[]int64](value) && !isEmpty(value) {
		return nil
	}
	var prompts []json.RawMessage
	if json.Unmarshal(value, &prompts) != nil || len(prompts) == 0 {
		return refusal.New(refusal.BodyInvalid, "the field prompt must be a text or a list of tokens").WithParam("prompt")
	}
	return refusal.New(refusal.FieldUnsupported, "the field prompt holds a list of prompts; send one request for each").WithParam("prompt")
}

func isType[T any](value json.RawMessage) bool {
	var decoded T
	return !isNull(value) && json.Unmarshal(value, &decoded) == nil
}

func isPositiveInt(value json.RawMessage) bool {
	var count int32
	return json.Unmarshal(value, &count) == nil && count > 0
}

func isOne(value json.RawMessage) bool {
	var count int32
	return json.Unmarshal(value, &count) == nil && count == 1
}

func isNull(value json.RawMessage) bool {
	return len(value) == 0 || string(bytes.TrimSpace(value)) == "null"
}

func isEmpty(value json.RawMessage) bool {
	return isNull(value) || slices.Contains([]string{"false", "0", "[]", "{}"}, string(bytes.TrimSpace(value)))
}

func isTextOnly(value json.RawMessage) bool {
	var modalities []string
	return json.Unmarshal(value, &modalities) == nil && slices.Equal(modalities, []string{"text"})
}

func truncate(text string) string {
	return text[:min(len(text), maxQuotedBytes)]
}
