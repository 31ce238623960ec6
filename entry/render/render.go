// Package render writes answers to callers: OpenAI-shaped bodies and streams,
// passed-on answers of plain services, and refusals.
package render

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
)

// HeaderOutcome says whether a refused request's run may have taken effect.
const HeaderOutcome = "Flamingospar-Outcome"

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message   string       `json:"message"`
	Type      string       `json:"type"`
	Code      refusal.Code `json:"code"`
	Param     *string      `json:"param"`
	RequestID string       `json:"request_id"`
}

// Refusal writes a refusal as a JSON error. After the answer has begun it can
// only break the connection off, so that the caller sees an incomplete answer.
func Refusal(x *pipeline.Exchange, refused *refusal.Refusal) {
	if x.AnswerBegun {
		panic(http.ErrAbortHandler)
	}
	header := x.Writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, refused.Outcome.String())
	if refused.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refused.RetryAfter.Seconds()))))
	}
	x.Writer.WriteHeader(refused.Reason().Status)
	_ = json.NewEncoder(x.Writer).Encode(errorBody{Error: errorFields{
		Message:   refused.Detail + "; " + refused.Reason().Remedy,
		Type:      refused.Reason().Type,
		Code:      refused.Code,
		RequestID: x.ID,
	}})
}
