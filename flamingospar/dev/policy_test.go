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

	"flamingospar.org/core/catalogue"
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
		for wave := range 20 {
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
		const small = 20
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

// TestLimitsOfTheCatalogueHold: a model's and a team's limits bind from the
// next accepted catalogue on, and only those whom they name.
func TestLimitsOfTheCatalogueHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, client := startTestSystem(t, "shedline")
		var shown struct {
			Revision  int64
			Catalogue *catalogue.Document `json:"catalogue"`
		}
		require.Equal(t, http.StatusOK, callOperator(t, client, http.MethodGet, system.OperatorURL+"/v1/catalogue", nil, &shown))
		limited := system.Keys[1].Team
		for i := range shown.Catalogue.Teams {
			if shown.Catalogue.Teams[i].Name == limited {
				shown.Catalogue.Teams[i].Limits = &catalogue.Limits{RequestsPerSecond: 2}
			}
		}
		for i := range shown.Catalogue.Models {
			if shown.Catalogue.Models[i].Name == "assessment" {
				shown.Catalogue.Models[i].Limits = &catalogue.Limits{Concurrent: 5}
			}
		}
		change := map[string]any{"base": shown.Revision, "operator": "test", "catalogue": shown.Catalogue}
		require.Equal(t, http.StatusOK, callOperator(t, client, http.MethodPut, system.OperatorURL+"/v1/catalogue", change, nil))
		time.Sleep(5 * time.Second)

		served := 0
		for range 20 {
			got := ask(t, client, system.URL, system.Keys[1].Key, "one after the other")
			if got.status == http.StatusOK {
				served++
				continue
			}
			require.Equal(t, http.StatusTooManyRequests, got.status)
			require.Equal(t, "not-run", got.outcome)
			require.NotEmpty(t, got.retryAfter)
		}
		require.Less(t, served, 20)

		var mu sync.Mutex
		statuses := make(map[int]int)
		var sending sync.WaitGroup
		for i := range 12 {
			sending.Add(1)
			go func() {
				defer sending.Done()
				got := ask(t, client, system.URL, system.Keys[0].Key, fmt.Sprint("at once ", i))
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
			}()
		}
		sending.Wait()
		require.Equal(t, map[int]int{http.StatusOK: 5, http.StatusTooManyRequests: 7}, statuses)
		require.Equal(t, http.StatusOK, ask(t, client, system.URL, system.Keys[0].Key, "after them").status)
	})
}
