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

// chatResult is the result of a request as seen by the caller.
type chatResult struct {
	status         int
	outcome        string
	retryAfter     string
	firstByteAfter time.Duration // Time to the first byte of the body.
}

func sendChat(t *testing.T, client *http.Client, url, key, prompt string) chatResult {
	body := fmt.Sprintf(`{"model":"assessment","max_tokens":24,"stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
	started := time.Now()
	response := post(t, client, url+"/v1/chat/completions", key, body)
	defer response.Body.Close()
	firstByte := make([]byte, 1)
	_, _ = io.ReadFull(response.Body, firstByte)
	first := time.Since(started)
	_, _ = io.Copy(io.Discard, response.Body)
	return chatResult{
		status:         response.StatusCode,
		outcome:        response.Header.Get("Flamingospar-Outcome"),
		retryAfter:     response.Header.Get("Retry-After"),
		firstByteAfter: first,
	}
}

// TestOverloadingTeamDelaysNoOtherTeam has one team send many times the fleet's
// capacity. The responses to a small team must be complete and on time. Refusals
// must be immediate, report the request as not run and carry Retry-After.
func TestOverloadingTeamDelaysNoOtherTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, client := startTestSystem(t, "shedline")
		long := strings.Repeat("setback code ", 300)
		var mu sync.Mutex
		overloading := make(map[int]int)
		var sending sync.WaitGroup
		for wave := range 20 {
			for i := range 40 {
				sending.Add(1)
				time.AfterFunc(time.Duration(wave)*100*time.Millisecond, func() {
					defer sending.Done()
					got := sendChat(t, client, system.URL, system.Keys[0].Key, fmt.Sprint(wave, " ", i, " ", long))
					mu.Lock()
					defer mu.Unlock()
					overloading[got.status]++
					if got.status == http.StatusOK {
						return
					}
					require.Equal(t, http.StatusTooManyRequests, got.status)
					require.Equal(t, "not-run", got.outcome)
					seconds, err := strconv.Atoi(got.retryAfter)
					require.NoError(t, err)
					require.Positive(t, seconds)
					require.Less(t, got.firstByteAfter, time.Second, "refusal must be immediate")
				})
			}
		}
		late, refused := 0, 0
		const smallTeamRequests = 20
		for i := range smallTeamRequests {
			got := sendChat(t, client, system.URL, system.Keys[7].Key, fmt.Sprint("lot ", i, " ", long))
			if got.status != http.StatusOK {
				refused++
			} else if got.firstByteAfter > 440*time.Millisecond {
				late++
			}
		}
		sending.Wait()
		t.Logf("overloading team by status: %v; small team: %d refused, %d late of %d", overloading, refused, late, smallTeamRequests)
		require.Positive(t, overloading[http.StatusTooManyRequests], "load must exceed the capacity of the fleet")
		require.Positive(t, overloading[http.StatusOK])
		require.Zero(t, refused)
		require.LessOrEqual(t, late, smallTeamRequests/20)
	})
}

// TestCatalogueLimits checks that the limits of a model and a team apply once the
// catalogue is accepted, and only to the model and team that they name.
func TestCatalogueLimits(t *testing.T) {
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
			got := sendChat(t, client, system.URL, system.Keys[1].Key, "one after the other")
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
				got := sendChat(t, client, system.URL, system.Keys[0].Key, fmt.Sprint("at once ", i))
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
			}()
		}
		sending.Wait()
		require.Equal(t, map[int]int{http.StatusOK: 5, http.StatusTooManyRequests: 7}, statuses)
		require.Equal(t, http.StatusOK, sendChat(t, client, system.URL, system.Keys[0].Key, "after them").status)
	})
}
