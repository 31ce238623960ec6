package dev

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// answered is what a caller saw of one request.
type answered struct {
	status     int
	outcome    string
	retryAfter string
	first      time.Duration // To the first byte of the body.
}

func ask(t *testing.T, client *http.Client, url, key, prompt string) answered {
	body := fmt.Sprintf(`{"model":"assessment","max_tokens":24,"stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
	begun := time.Now()
	response := post(t, client, url+"/v1/chat/completions", key, body)
	defer response.Body.Close()
	one := make([]byte, 1)
	_, _ = io.ReadFull(response.Body, one)
	first := time.Since(begun)
	_, _ = io.Copy(io.Discard, response.Body)
	return answered{
		status:     response.StatusCode,
		outcome:    response.Header.Get("Flamingospar-Outcome"),
		retryAfter: response.Header.Get("Retry-After"),
		first:      first,
	}
}

// TestGreedyTeamMovesNoOthersFirstToken: one team sends many times what the
// fleet can do; a small team's answers come whole and in time, and what is
// refused is refused at once, truthfully and with a time to come back.
func TestGreedyTeamMovesNoOthersFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, client := startTestSystem(t, "shedline")
		long := strings.Repeat("setback code ", 300)
		var mu sync.Mutex
		greedy := make(map[int]int)
		var sending sync.WaitGroup
		for wave := range 40 {
			for i := range 40 {
				sending.Add(1)
				time.AfterFunc(time.Duration(wave)*100*time.Millisecond, func() {
					defer sending.Done()
					got := ask(t, client, system.URL, system.Keys[0].Key, fmt.Sprint(wave, " ", i, " ", long))
					mu.Lock()
					defer mu.Unlock()
					greedy[got.status]++
					if got.status == http.StatusOK {
						return
					}
					require.Equal(t, http.StatusTooManyRequests, got.status)
					require.Equal(t, "not-run", got.outcome)
					seconds, err := strconv.Atoi(got.retryAfter)
					require.NoError(t, err)
					require.Positive(t, seconds)
					require.Less(t, got.first, time.Second, "the final answer comes at once")
				})
			}
		}
		late, refused := 0, 0
		const small = 40
		for i := range small {
			got := ask(t, client, system.URL, system.Keys[7].Key, fmt.Sprint("lot ", i, " ", long))
			if got.status != http.StatusOK {
				refused++
			} else if got.first > 440*time.Millisecond {
				late++
			}
		}
		sending.Wait()
		t.Logf("greedy team by status: %v; small team: %d refused, %d late of %d", greedy, refused, late, small)
		require.Positive(t, greedy[http.StatusTooManyRequests], "the load exceeds the fleet")
		require.Positive(t, greedy[http.StatusOK])
		require.Zero(t, refused)
		require.LessOrEqual(t, late, small/20)
	})
}
