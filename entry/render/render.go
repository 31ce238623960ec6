// Package render writes responses to callers: OpenAI-compatible bodies and
// streams, proxied responses of plain services, and errors.
package render

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
)

// HeaderOutcome is the response header that says whether the run of a refused
// request may have taken effect.
const HeaderOutcome = "Flamingospar-Outcome"

const (
	contentTypeJSON        = "application/json"
	contentTypeEventStream = "text/event-stream"
)

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message   string       `json:"message"`
	Type      string       `json:"type"`
	Code      refusal.Code `json:"code"`
	Param     *string      `json:"param"`
	Outcome   string       `json:"outcome"`
	RequestID string       `json:"request_id"`
}

// Refusal writes a refusal as a JSON error. If the response has already started,
// it sends the error as the last event of an event stream and aborts the
// connection, so that the caller sees an incomplete response.
func Refusal(x *pipeline.Exchange, refused *refusal.Refusal) {
	body := newErrorBody(x, refused)
	header := x.Writer.Header()
	if x.ResponseStarted {
		if header.Get("Content-Type") == contentTypeEventStream {
			writeEvent(x, body)
		}
		panic(http.ErrAbortHandler)
	}
	header.Set("Content-Type", contentTypeJSON)
	header.Set(HeaderOutcome, refused.Outcome.String())
	if refused.Reason().Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if refused.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refused.RetryAfter.Seconds()))))
	}
	x.Writer.WriteHeader(refused.Reason().Status)
	_ = json.NewEncoder(x.Writer).Encode(body)
}

func newErrorBody(x *pipeline.Exchange, refused *refusal.Refusal) errorBody {
	fields := errorFields{
		Message:   refused.Detail + "; " + refused.Reason().Remedy,
		Type:      refused.Reason().Type,
		Code:      refused.Code,
		Outcome:   refused.Outcome.String(),
		RequestID: x.ID,
	}
	if refused.Param != "" {
		fields.Param = &refused.Param
	}
	return errorBody{Error: fields}
}

func writeEvent(x *pipeline.Exchange, body errorBody) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	if _, err := fmt.Fprintf(x.Writer, "data: %s\n\n", data); err == nil {
		_ = http.NewResponseController(x.Writer).Flush()
	}
}
