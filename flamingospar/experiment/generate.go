package experiment

import (
	"math"
	"math/rand/v2"
	"sort"
)

// Shape of the requests.
const (
	promptSigma    = 0.5 // Of the logarithm of prompt lengths.
	outputSigma    = 0.6 // Of the logarithm of output lengths.
	longestPrompt  = 3000
	longestOutput  = 600
	shortestTokens = 4
	batchSpread    = 2.0 // Seconds in which a batch of like requests is sent.
	batchPrefix    = 400
)

// request is one caller's request and what became of it.
type request struct {
	id           int
	team         int
	model        int
	entry        int
	arrival      float64
	prompt       int
	output       int
	prefix       uint64
	prefixTokens int
	batch        bool    // Of the batch class: no bound on its first token.
	deadline     float64 // Span in which the caller wants the whole answer.

	progress
}

// work is the least engine time of the request; a cached prefix costs nothing.
func (r *request) work(cached bool) float64 {
	prompt := r.prompt
	if cached {
		prompt -= r.prefixTokens
	}
	return float64(prompt)*promptSeconds + float64(r.output)*outputSeconds
}

// generate draws the requests of a trace, in the order of arrival.
func generate(t Trace, s site, seed uint64) []*request {
	g := &generator{trace: t, site: s, random: rand.New(rand.NewPCG(seed, 0x5eed))}
	g.zipf = rand.NewZipf(g.random, 1.1, 1, uint64(max(1, t.Prefixes-1)))
	for team := range s.teams {
		g.steady(team)
	}
	for _, burst := range t.Bursts {
		if burst.Requests > 0 {
			g.likeRequests(burst)
		}
	}
	sort.SliceStable(g.requests, func(i, j int) bool { return g.requests[i].arrival < g.requests[j].arrival })
	for i, r := range g.requests {
		r.id = i
	}
	return g.requests
}

type generator struct {
	trace    Trace
	site     site
	random   *rand.Rand
	zipf     *rand.Zipf
	requests []*request
}

// baseRate is the rate of requests of the whole fleet at relative rate 1.
func (g *generator) baseRate() float64 {
	_, share := g.trace.at(0)
	work := g.trace.OutputTokens * outputSeconds / (1 - share)
	return g.trace.Load * float64(len(g.site.engines)) / work
}

// steady draws a team's requests as a Poisson process by thinning.
func (g *generator) steady(team int) {
	own := g.baseRate() * demandShares[team%len(demandShares)]
	peak := own * g.peakFactor(team)
	for at := g.random.ExpFloat64() / peak; at < g.trace.Seconds; at += g.random.ExpFloat64() / peak {
		if g.random.Float64()*peak < own*g.factor(team, at) {
			g.add(team, at)
		}
	}
}

func (g *generator) factor(team int, at float64) float64 {
	rate, _ := g.trace.at(at)
	for _, burst := range g.trace.Bursts {
		if burst.Team == team && burst.Rate > 0 && at >= burst.At && at < burst.At+burst.Seconds {
			rate *= burst.Rate
		}
	}
	return rate
}

func (g *generator) peakFactor(team int) float64 {
	peak := 0.0
	for at := 0.0; at <= g.trace.Seconds; at++ {
		peak = max(peak, g.factor(team, at))
	}
	return peak * 1.01
}

func (g *generator) add(team int, at float64) {
	_, share := g.trace.at(at)
	promptMean := share / (1 - share) * g.trace.OutputTokens * outputSeconds / promptSeconds
	r := &request{
		team:    team,
		model:   g.model(),
		entry:   g.random.IntN(len(g.site.dataCentres)),
		arrival: at,
		prompt:  g.length(promptMean, promptSigma, longestPrompt),
		output:  g.length(g.trace.OutputTokens, outputSigma, longestOutput),
	}
	if r.prompt > g.trace.PrefixTokens+shortestTokens && g.trace.Prefixes > 0 {
		r.prefix = uint64(team+1)<<32 | uint64(r.model+1)<<24 | (g.zipf.Uint64() + 1)
		r.prefixTokens = g.trace.PrefixTokens
	}
	g.requests = append(g.requests, r)
}

// likeRequests draws a batch of one team with a common prefix.
func (g *generator) likeRequests(burst Burst) {
	for range burst.Requests {
		g.requests = append(g.requests, &request{
			team:         burst.Team,
			model:        0,
			entry:        g.random.IntN(len(g.site.dataCentres)),
			arrival:      burst.At + g.random.Float64()*batchSpread,
			prompt:       batchPrefix + g.length(100, 0.2, longestPrompt),
			output:       g.length(g.trace.OutputTokens, 0.2, longestOutput),
			prefix:       uint64(burst.Team+1)<<32 | 0xffff,
			prefixTokens: batchPrefix,
			batch:        true,
			deadline:     burst.Deadline,
		})
	}
}

// model draws a model in proportion to its engines.
func (g *generator) model() int {
	drawn := g.random.IntN(len(g.site.engines))
	for model := range g.site.models {
		drawn -= g.site.enginesOf(model)
		if drawn < 0 {
			return model
		}
	}
	return 0
}

func (g *generator) length(mean, sigma float64, longest int) int {
	drawn := mean * math.Exp(sigma*g.random.NormFloat64()-sigma*sigma/2)
	return min(max(int(drawn), shortestTokens), longest)
}
