package relay_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against whole events that are lost, or not, depending on how an answer is split into
// reads: what comes before the first line that is no part of the stream is forwarded.
func TestEventsBeforeAFaultAreForwarded(t *testing.T) {
	for name, fault := range map[string]string{
		"a line of an error":       "{\"error\":1}\n\n",
		"an event with the error":  "id: 4\ndata: a\n{\"error\":1}\n\n",
		"an event again":           "id: 3\ndata: piece 3\n\n",
		"an event without an end":  "data: " + strings.Repeat("x", 1<<20),
		"a line after a half line": "id: 4\n{\"error\":1}",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, _, other := newPair(t, raw(chunked(streamHead, pieces(3)+fault)), sitetest.Events(6, 0))
			job := newStreamJob()
			job.Route.Resumable = false
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, job)
			require.Equal(t, relay.ReasonBroken, outcome.Reason, "calls: %+v", outcome.Calls)
			require.Equal(t, pieces(3), recorder.Body.String())
			require.Error(t, outcome.Err)
			require.Empty(t, other.Requests())
		})
	}
}
