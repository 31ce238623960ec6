package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Heads of answers to a stream, without the blank line at their end.
const (
	idField     = sitetest.HeaderRequestID + ": ID\r\n"
	sealField   = sitetest.HeaderEngineSeal + ": s\r\n"
	untypedHead = "HTTP/1.1 200 OK\r\n" + idField + sealField
	streamHead  = untypedHead + "Content-Type: text/event-stream\r\n"
)

// raw returns a handler that writes text in place of an HTTP response, with the ID of the
// request for ID, and closes the connection.
func raw(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = conn.Write([]byte(strings.ReplaceAll(text, "ID", r.Header.Get(sitetest.HeaderRequestID)))) // The client sees a truncated response.
	}
}

// sized returns a response with a body whose length is stated.
func sized(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// chunked returns a response with a body in one chunk.
func chunked(head, body string) string {
	chunk := ""
	if body != "" {
		chunk = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"
}

// newTriple returns a relay whose streams are sent to first, then to other, then to third.
func newTriple(t *testing.T, first, other, third func(http.ResponseWriter, *http.Request)) (*relay.Relay, []*sitetest.Endpoint) {
	r, firstEndpoint, otherEndpoint := newPair(t, first, other)
	thirdEndpoint := sitetest.NewEndpoint(t, "third", third)
	addModel(r, "third", thirdEndpoint.Address, 1)
	t.Cleanup(r.Selector.StreamStarted("third"))
	r.Selector.RecordResult("third", engines.RequestFailed) // So that it is tried last.
	return r, []*sitetest.Endpoint{firstEndpoint, otherEndpoint, thirdEndpoint}
}

// breakAfter returns a handler that breaks off after the last event.
func breakAfter(last int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		sitetest.Events(last, 0)(w, r)
		_ = http.NewResponseController(w).Flush() // The client sees a truncated response.
		panic(http.ErrAbortHandler)
	}
}

func results(calls []relay.Call) []relay.Result {
	var all []relay.Result
	for _, call := range calls {
		all = append(all, call.Result)
	}
	return all
}

// newTakeUpJob returns a job that takes a stream up after an event.
func newTakeUpJob(lastEventID string) *relay.Job {
	job := newStreamJob()
	job.Caller.LastEventID = lastEventID
	job.Header.Set(sitetest.HeaderLastEventID, lastEventID)
	return job
}

// addVersioned adds an engine at which streams that are taken up may go on.
func addVersioned(r *relay.Relay, id, address string) {
	r.Selector.EndpointChanged(site.Endpoint{ID: id, Service: "model", Address: address, DataCentre: "dc-1", Slots: 8, Stage: site.Decode, StartedMS: 1, SoftwareVersion: softwareVersion})
}
