package route

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingospar.org/core/propertytest"
)

func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 6})
	os.Exit(m.Run())
}

func poolOf(n int) Candidates {
	pool := make(Candidates, 0, n)
	for i := range n {
		id := fmt.Sprint("engine-", i)
		pool = append(pool, Candidate{
			Endpoint:   id,
			DataCentre: fmt.Sprint("dc-", i%3),
			Kind:       "model",
			Model:      "m",
			Ready:      true,
			MaxRunning: 64,
			Backlog:    Backlog{PromptRate: 7500},
			Hash:       HashOf(id),
		})
	}
	slices.SortFunc(pool, func(a, b Candidate) int { return cmp.Compare(a.Hash, b.Hash) })
	return pool
}

// TestChoiceIsServable checks for arbitrary snapshots that the choice passes all
// filters, that there is none only if all examined candidates were dropped, and
// that the number of examined candidates is bounded.
func TestChoiceIsServable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := poolOf(rapid.IntRange(0, 60).Draw(t, "engines"))
		for i := range pool {
			pool[i].Ready = rapid.Bool().Draw(t, "ready")
			pool[i].Role = rapid.SampledFrom([]Role{"", Mixed, Prefill, Output}).Draw(t, "role")
			pool[i].Running = rapid.IntRange(0, 80).Draw(t, "running")
			pool[i].Backlog.Tokens = rapid.Float64Range(0, 1e5).Draw(t, "backlog")
		}
		request := Request{
			Kind:         "model",
			Model:        "m",
			DataCentre:   "dc-0",
			PromptTokens: 1000,
			Prefix:       rapid.Uint64().Draw(t, "prefix"),
			PrefixTokens: 256,
			PrefillDone:  rapid.Bool().Draw(t, "imported"),
			Seed:         rapid.Uint64().Draw(t, "seed"),
			Avoid:        map[string]bool{"engine-0": true},
		}
		choice := ChooseFrom(request, pool)
		require.LessOrEqual(t, choice.Examined, fullScanLimit)
		dropped := 0
		for _, n := range choice.Dropped {
			dropped += n
		}
		if choice.Endpoint == "" {
			require.Equal(t, choice.Examined, dropped)
			return
		}
		at := slices.IndexFunc(pool, func(c Candidate) bool { return c.Endpoint == choice.Endpoint })
		require.Empty(t, droppedBy(request, pool[at]))
	})
}

// TestPrefixAffinityIsStable checks that removing an engine changes the affine
// endpoints only of prefixes that it served, and that requests go elsewhere when
// the affine endpoints are overloaded.
func TestPrefixAffinityIsStable(t *testing.T) {
	pool := poolOf(12)
	fewer := slices.Delete(slices.Clone(pool), 5, 6)
	gone := pool[5].Endpoint
	for prefix := uint64(1); prefix <= 200; prefix++ {
		request := Request{Kind: "model", Model: "m", Prefix: prefix, PrefixTokens: 500, PromptTokens: 600}
		before, after := affineEndpointsOf(request, pool), affineEndpointsOf(request, fewer)
		if !before.contains(gone) {
			require.Equal(t, before, after)
		}
	}
	request := Request{Kind: "model", Model: "m", Prefix: 7, PrefixTokens: 500, PromptTokens: 600}
	first := ChooseFrom(request, pool)
	require.True(t, first.PrefixCached)
	for i := range pool {
		if affineEndpointsOf(request, pool).contains(pool[i].Endpoint) {
			pool[i].Backlog.Tokens = 10_000
		}
	}
	require.False(t, ChooseFrom(request, pool).PrefixCached, "a hot prefix spreads")
}

// TestEntriesDoNotHerdOnANewEngine checks that requests decided on one snapshot do
// not all go to an engine that just joined empty, since each request sent there
// adds to its estimated backlog.
func TestEntriesDoNotHerdOnANewEngine(t *testing.T) {
	pool := poolOf(12)
	for i := range pool {
		pool[i].Backlog.Tokens = 800
		pool[i].Running = 20
	}
	pool[3].Backlog.Tokens, pool[3].Running = 0, 0
	took := 0
	const requests = 30
	for i := range requests {
		choice := ChooseFrom(Request{Kind: "model", Model: "m", PromptTokens: 600, Seed: uint64(i + 1)}, pool)
		at := slices.IndexFunc(pool, func(c Candidate) bool { return c.Endpoint == choice.Endpoint })
		pool[at].Backlog = pool[at].Backlog.Add(0, 600)
		pool[at].Outstanding++
		if at == 3 {
			took++
		}
	}
	require.LessOrEqual(t, took, 6)
	require.Positive(t, took)
}

func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{12, 500, 4_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			pool := poolOf(engines)
			request := Request{Kind: "model", Model: "m", DataCentre: "dc-0", PromptTokens: 800, Prefix: 1, PrefixTokens: 256}
			b.ReportAllocs()
			for b.Loop() {
				request.Seed++
				request.Prefix = request.Seed % 97
				ChooseFrom(request, pool)
			}
		})
	}
}
