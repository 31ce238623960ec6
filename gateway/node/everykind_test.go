package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// requestKind is a kind of request with a form of body.
type requestKind struct {
	name   string
	method string
	path   string
	change func(*http.Request)
}

// requestKinds are requests to routes of every kind, with every form of body.
var requestKinds = []requestKind{
	{name: "idempotent", method: http.MethodGet, path: plainPath},
	{name: "idempotent, in chunks", method: http.MethodPost, path: plainPath, change: chunkedBody},
	{name: "not idempotent", method: http.MethodPost, path: oncePath},
	{name: "not idempotent, late body", method: http.MethodPost, path: oncePath, change: lateBody},
	{name: "not idempotent, body on demand", method: http.MethodPost, path: oncePath, change: expectContinue},
	{name: "resumable stream", method: http.MethodPost, path: streamPath},
	{name: "resumable stream, late body", method: http.MethodPost, path: streamPath, change: lateBody},
	{name: "stream", method: http.MethodPost, path: modelPath},
	{name: "stream, in chunks", method: http.MethodPost, path: modelPath, change: chunkedBody},
}

func chunkedBody(r *http.Request) {
	r.ContentLength = -1
	r.Body = io.NopCloser(strings.NewReader("the body"))
}

// lateBody sends the body some time after the header.
func lateBody(r *http.Request) {
	r.ContentLength = int64(len("the body"))
	r.Body = io.NopCloser(io.MultiReader(strings.NewReader("the "), &delayedReader{wait: silence / 4}, strings.NewReader("body")))
}

func expectContinue(r *http.Request) { r.Header.Set("Expect", "100-continue") }

// delayedReader is empty, and says so late.
type delayedReader struct{ wait time.Duration }

func (d *delayedReader) Read([]byte) (int, error) {
	time.Sleep(d.wait)
	return 0, io.EOF
}

// wantedBody is what silentInEach answers a request for path.
func wantedBody(path string) string {
	if isStream(path) {
		return "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	}
	return "ok"
}

func isStream(path string) bool { return path == streamPath || path == modelPath }

// silentInEach is silent for a time in each answer; a stream is silent after its first event.
func silentInEach(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(sitetest.HeaderLastEventID)
	if isStream(r.RequestURI) {
		sitetest.BeginStream(w)
	}
	if isStream(r.RequestURI) && from == "" {
		fmt.Fprint(w, "id: 1\ndata: piece 1\n\n")
		_ = http.NewResponseController(w).Flush() // An error shows in what the caller receives.
	}
	select {
	case <-time.After(silence):
	case <-r.Context().Done():
		return
	}
	if isStream(r.RequestURI) {
		fmt.Fprint(w, "id: 2\ndata: piece 2\n\n")
		return
	}
	fmt.Fprint(w, "ok")
}

// registerSilent registers endpoints of both services that are silent in each answer.
func (h *harness) registerSilent() {
	for _, id := range []string{"m1", "m2"} {
		h.register(sitetest.NewEndpoint(h.t, id, silentInEach), "model", "decode")
	}
	for _, id := range []string{"p1", "p2"} {
		h.register(sitetest.NewEndpoint(h.t, id, silentInEach), "plain", "")
	}
}

// startEveryKind sends a request of each kind. The function it returns waits for the
// answers, which must be whole.
func (h *harness) startEveryKind(t *testing.T) (check func()) {
	results := make([]result, len(requestKinds))
	var running sync.WaitGroup
	for i, kind := range requestKinds {
		running.Go(func() {
			results[i] = h.send(kind.method, kind.path, "key", func(r *http.Request) {
				patientCaller(r)
				if kind.change != nil {
					kind.change(r)
				}
			})
		})
	}
	return func() {
		running.Wait()
		for i, kind := range requestKinds {
			require.NoError(t, results[i].err, kind.name)
			require.Equal(t, http.StatusOK, results[i].status, "%s: %s", kind.name, results[i].body)
			require.Equal(t, wantedBody(kind.path), results[i].body, kind.name)
		}
	}
}
