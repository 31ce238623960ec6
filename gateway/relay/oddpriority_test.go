package relay_test

import (
	"math"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// Guards against: a priority of a route or team below 0, or so large that it overflows, ended
// each of its streams with a panic: their callers' connections were closed without an answer.
func TestAnyPriorityIsServed(t *testing.T) {
	for _, priority := range []int{-1, math.MinInt, math.MaxInt, math.MaxInt/2 + 1} {
		r := newRelay()
		e := sitetest.NewEndpoint(t, "e", sitetest.Events(3, 0))
		addModel(r, e.ID, e.Address, 8)
		job := newStreamJob()
		job.Priority = priority
		recorder := httptest.NewRecorder()
		require.NotPanics(t, func() { r.Serve(t.Context(), recorder, job) }, "%d", priority)
		require.Equal(t, http.StatusOK, recorder.Code)
	}
}
