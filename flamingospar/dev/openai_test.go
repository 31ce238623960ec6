package dev

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"flamingospar.org/core/refusal"
	"flamingospar.org/standin/engine"
)

// TestOpenAIClient checks compatibility with the unmodified OpenAI client, including
// its handling of streams, errors and retries.
func TestOpenAIClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, transport := startTestSystem(t, "trust")
		client := openai.NewClient(option.WithBaseURL(system.URL+"/v1/"), option.WithAPIKey(system.Keys[0].Key), option.WithHTTPClient(transport))
		chat := openai.ChatCompletionNewParams{
			Model:     "notice",
			MaxTokens: openai.Int(6),
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		}
		whole, err := client.Chat.Completions.New(t.Context(), chat)
		require.NoError(t, err)
		require.Equal(t, engine.Text("hello", 6), whole.Choices[0].Message.Content)
		require.Equal(t, "assistant", string(whole.Choices[0].Message.Role))
		require.Equal(t, []int64{1, 6, 7}, []int64{whole.Usage.PromptTokens, whole.Usage.CompletionTokens, whole.Usage.TotalTokens})

		requireStreams(t, client, chat)
		requireContentParts(t, client, chat)
		plain, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
			Model:     "notice",
			MaxTokens: openai.Int(3),
			Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
		})
		require.NoError(t, err)
		require.Equal(t, engine.Text("hello", 3), plain.Choices[0].Text)
		require.Equal(t, int64(3), plain.Usage.CompletionTokens)

		list, err := client.Models.List(t.Context())
		require.NoError(t, err)
		require.Len(t, list.Data, 2)
		model, err := client.Models.Get(t.Context(), "claims")
		require.NoError(t, err)
		require.Equal(t, "claims", model.OwnedBy)
		requireClientErrors(t, client, chat)
	})
}

func requireStreams(t *testing.T, client openai.Client, chat openai.ChatCompletionNewParams) {
	t.Helper()
	for _, withUsage := range []bool{false, true} {
		if withUsage {
			chat.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
		}
		stream := client.Chat.Completions.NewStreaming(t.Context(), chat)
		accumulator := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			require.True(t, accumulator.AddChunk(stream.Current()))
		}
		require.NoError(t, stream.Err())
		require.Equal(t, engine.Text("hello", 6), accumulator.Choices[0].Message.Content)
		require.Equal(t, "stop", accumulator.Choices[0].FinishReason)
		want := int64(0)
		if withUsage {
			want = 6
		}
		require.Equal(t, want, accumulator.Usage.CompletionTokens)
	}
}

// requireContentParts sends a message as a list of parts, which must reach the
// engine unchanged.
func requireContentParts(t *testing.T, client openai.Client, chat openai.ChatCompletionNewParams) {
	t.Helper()
	parts := []openai.ChatCompletionContentPartUnionParam{openai.TextContentPart("hello")}
	chat.Messages = []openai.ChatCompletionMessageParamUnion{
		openai.UserMessage(parts),
		openai.ToolMessage("result", "call-1"),
	}
	response, err := client.Chat.Completions.New(t.Context(), chat)
	require.NoError(t, err)
	require.Equal(t, engine.Text(`[{"text":"hello","type":"text"}]result`, 6), response.Choices[0].Message.Content)
}

func requireClientErrors(t *testing.T, client openai.Client, chat openai.ChatCompletionNewParams) {
	t.Helper()
	other := chat
	other.Model = "other"
	_, err := client.Chat.Completions.New(t.Context(), other)
	requireClientError(t, err, http.StatusNotFound, refusal.ModelUnknown, "model")
	tools := chat
	tools.Tools = []openai.ChatCompletionToolUnionParam{openai.ChatCompletionFunctionTool(openai.FunctionDefinitionParam{Name: "look"})}
	_, err = client.Chat.Completions.New(t.Context(), tools)
	requireClientError(t, err, http.StatusUnprocessableEntity, refusal.FieldUnsupported, "tools")
	_, err = client.Chat.Completions.New(t.Context(), chat, option.WithAPIKey("fsk_"))
	requireClientError(t, err, http.StatusUnauthorized, refusal.KeyMalformed, "")
}

func requireClientError(t *testing.T, err error, status int, code refusal.Code, param string) {
	t.Helper()
	var refused *openai.Error
	require.True(t, errors.As(err, &refused), "%v", err)
	require.Equal(t, status, refused.StatusCode)
	require.Equal(t, string(code), refused.Code)
	require.Equal(t, param, refused.Param)
	require.Equal(t, "not-run", refused.Response.Header.Get("Flamingospar-Outcome"))
}
