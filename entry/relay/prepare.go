package relay

import (
	"net/http"

	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/match"
	"flamingospar.org/entry/pipeline"
	"flamingospar.org/entry/render"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// prepare returns the response to write and the fields of RunStart that all
// attempts share.
func (f *Filter) prepare(x *pipeline.Exchange) (render.Response, *wirev1.RunStart, *refusal.Refusal) {
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
		Fingerprint:        string(x.Fingerprint),
	}
	if x.Kind != match.ModelKind {
		start.Headers = wireHeaders(x.Request.Header)
		return render.ForService(x), start, nil
	}
	request, err := match.Decode(x.Body)
	if err != nil {
		return nil, nil, refusal.New(refusal.BodyInvalid, "the body is not a JSON object: %v", err)
	}
	start.Path = x.Request.URL.Path
	start.Body, err = streamingBody(x.Body)
	if err != nil {
		return nil, nil, refusal.New(refusal.BodyInvalid, "the body is not a JSON object: %v", err)
	}
	return render.ForModel(x, request), start, nil
}

func wireHeaders(header http.Header) []*wirev1.Header {
	forwarded := header.Clone()
	render.StripHopByHopHeaders(forwarded)
	var fields []*wirev1.Header
	for name, values := range forwarded {
		for _, value := range values {
			fields = append(fields, &wirev1.Header{Name: name, Value: value})
		}
	}
	return fields
}
