// Package relay chooses an endpoint, runs the request there and passes the
// answer on. It tries again elsewhere only with proof that nothing ran.
package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"flamingospar.org/core/refusal"
	"flamingospar.org/core/usage"
	"flamingospar.org/entry/choose"
	"flamingospar.org/entry/dispatch"
	"flamingospar.org/entry/match"
	"flamingospar.org/entry/pipeline"
	"flamingospar.org/entry/render"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const (
	maxAttempts     = 3
	noEndpointAfter = 1 * time.Second
)

// Filter is the last filter of the chain.
type Filter struct {
	chooser    *choose.Chooser
	dispatcher *dispatch.Dispatcher
	counter    pipeline.Counter
	instance   string
}

// New returns the filter of the entry process instance.
func New(instance string, chooser *choose.Chooser, dispatcher *dispatch.Dispatcher, counter pipeline.Counter) *Filter {
	return &Filter{instance: instance, chooser: chooser, dispatcher: dispatcher, counter: counter}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "relay" }

// Response implements pipeline.Filter.
func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

// Request implements pipeline.Filter.
func (f *Filter) Request(ctx context.Context, x *pipeline.Exchange) *refusal.Refusal {
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	answer, start, refused := f.prepare(x)
	if refused != nil {
		return refused
	}
	result := f.attempts(ctx, x, start, answer)
	if result.Refused != nil {
		return result.Refused
	}
	x.Outcome = refusal.Ran
	x.Figures = figuresOf(result.Usage)
	if err := answer.Finish(result.FinishReason, result.Usage); err != nil {
		f.counter.Count("caller_left")
	}
	return nil
}

func (f *Filter) attempts(ctx context.Context, x *pipeline.Exchange, start *wirev1.RunStart, answer render.Answer) dispatch.Result {
	tried := make(map[string]bool)
	var last *refusal.Refusal
	for x.Attempts < maxAttempts {
		pick, ok := f.chooser.Pick(x, tried)
		if !ok {
			break
		}
		x.Attempts++
		start.RunId = fmt.Sprintf("%s/%d", x.ID, x.Attempts)
		start.Endpoint = pick.Choice.Endpoint
		f.chooser.Describe(pick, x, start)
		result := f.dispatcher.Send(ctx, pick.Agent, start, answer)
		pick.Done()
		f.chooser.Served(pick, x, figuresOf(result.Usage))
		if result.Outcome != refusal.NotRun || ctx.Err() != nil {
			return result
		}
		tried[pick.Choice.Endpoint] = true
		last = result.Refused
		f.counter.Count("retried", string(last.Code))
	}
	if last == nil {
		last = refusal.New(refusal.NoEndpoint, "no endpoint is ready for %s %s", x.Kind, x.Model).After(noEndpointAfter)
	}
	return dispatch.Result{Outcome: refusal.NotRun, Refused: last}
}

func (f *Filter) prepare(x *pipeline.Exchange) (render.Answer, *wirev1.RunStart, *refusal.Refusal) {
	start := &wirev1.RunStart{
		Team:               x.Team,
		Route:              x.Route,
		Model:              x.Model,
		DeadlineUnixMillis: x.Deadline.UnixMilli(),
		Repeatable:         x.Repeatable,
		Method:             x.Request.Method,
		Path:               x.Request.URL.RequestURI(),
		Body:               x.Body,
		Revision:           int64(x.State.Revision),
		EntryInstance:      f.instance,
		KeyId:              x.KeyID,
	}
	if x.Kind != match.ModelKind {
		start.Headers = wireHeaders(x.Request.Header)
		return render.ForService(x), start, nil
	}
	request, err := match.Decode(x.Body)
	if err != nil {
		return nil, nil, refusal.New(refusal.BodyInvalid, "the body is no JSON object: %v", err)
	}
	start.Path = x.Request.URL.Path
	start.Body, err = streamingBody(x.Body)
	if err != nil {
		return nil, nil, refusal.New(refusal.BodyInvalid, "the body is no JSON object: %v", err)
	}
	return render.ForModel(x, request), start, nil
}

func wireHeaders(header http.Header) []*wirev1.Header {
	passed := header.Clone()
	render.StripHopHeaders(passed)
	var fields []*wirev1.Header
	for name, values := range passed {
		for _, value := range values {
			fields = append(fields, &wirev1.Header{Name: name, Value: value})
		}
	}
	return fields
}

func figuresOf(reported *wirev1.Usage) usage.Figures {
	return usage.Figures{
		Requests:     1,
		PromptTokens: reported.GetPromptTokens(),
		CachedTokens: reported.GetCachedTokens(),
		OutputTokens: reported.GetOutputTokens(),
	}
}
