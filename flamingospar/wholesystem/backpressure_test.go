package wholesystem

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/engine"
)

// TestSlowCallerHoldsOnlyItsStream lets a caller take no byte of a large answer
// for longer than a silent stream may last: others are served meanwhile over the
// same connection, and the caller still gets its whole answer.
func TestSlowCallerHoldsOnlyItsStream(t *testing.T) {
	inClaims(t, func(w *world, _ *endpoint, rng *rand.Rand) func(*testing.T) {
		sent := strings.Repeat("x", 2<<20)
		response := w.open(w.ctx, http.MethodPost, "/claims", sent)
		others := w.load(rng, time.Now().Add(10*time.Second), 200*time.Millisecond, func(*rand.Rand) kind { return claim })
		var answer struct{ Body []byte }
		err := json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		return func(t *testing.T) {
			require.NoError(t, err)
			require.Equal(t, len(sent), len(answer.Body))
			require.Equal(t, 1, w.runs(sent))
			for _, r := range others {
				require.True(t, r.answered(), "%v", r.told)
				require.Less(t, r.took, time.Second)
			}
		}
	})
}

// TestStalledCallerIsGivenUp lets a caller take no byte at all: its run ends and
// holds nothing after the limit.
func TestStalledCallerIsGivenUp(t *testing.T) {
	inClaims(t, func(w *world, _ *endpoint, _ *rand.Rand) func(*testing.T) {
		response := w.open(w.ctx, http.MethodPost, "/claims", strings.Repeat("x", 2<<20))
		time.Sleep(40 * time.Second)
		left := w.counter("caller_left")
		_, err := io.Copy(io.Discard, response.Body)
		response.Body.Close()
		return func(t *testing.T) {
			require.Equal(t, int64(1), left)
			require.Error(t, err)
		}
	})
}

// TestLeavingCallerCancelsItsRun closes a stream early: the engine stops
// generating for it.
func TestLeavingCallerCancelsItsRun(t *testing.T) {
	inClaims(t, func(w *world, _ *endpoint, _ *rand.Rand) func(*testing.T) {
		ctx, leave := context.WithCancel(w.ctx)
		body := fmt.Sprintf(`{"model":%q,"max_tokens":2000,"stream":true,"messages":[{"role":"user","content":"long"}]}`, modelName)
		response := w.open(ctx, http.MethodPost, "/v1/chat/completions", body)
		time.Sleep(time.Second)
		during := w.engineLoad()
		leave()
		response.Body.Close()
		time.Sleep(500 * time.Millisecond)
		after := w.engineLoad()
		return func(t *testing.T) {
			require.Equal(t, 1, during.Running)
			require.Zero(t, after.Running+after.Queued)
			require.Equal(t, int64(1), w.counter("caller_left"))
		}
	})
}

// open sends a request to the first entry and returns its unread answer.
func (w *world) open(ctx context.Context, method, path, body string) *http.Response {
	call, err := http.NewRequestWithContext(ctx, method, w.entries[0].url()+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	call.Header.Set("Authorization", "Bearer "+w.key)
	response, err := w.client.Do(call)
	if err != nil {
		panic(err)
	}
	return response
}

func (w *world) engineLoad() engine.Load {
	call, err := http.NewRequestWithContext(w.ctx, http.MethodGet, "http://endpoint-notice-0:80/load", http.NoBody)
	if err != nil {
		panic(err)
	}
	response, err := w.client.Do(call)
	if err != nil {
		panic(err)
	}
	defer response.Body.Close()
	var load engine.Load
	_ = json.NewDecoder(response.Body).Decode(&load)
	return load
}
