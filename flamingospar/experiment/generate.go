package experiment

import (
	"math"
	"math/rand/v2"
	"sort"
)

// Parameters of the generated requests.
const (
	promptLogSigma      = 0.5 // Standard deviation of the logarithm of prompt lengths.
	outputLogSigma      = 0.6 // Standard deviation of the logarithm of output lengths.
	maxPromptTokens     = 3000
	maxOutputTokens     = 600
	minTokens           = 4
	batchArrivalSeconds = 2.0    // Time over which the requests of a batch arrive.
	batchPromptTokens   = 100    // Mean, beyond the common prefix.
	batchLogSigma       = 0.2    // Standard deviation of the logarithm of lengths in a batch.
	zipfExponent        = 1.1    // Of the popularity of a team's prefixes.
	rateMargin          = 1.01   // Covers the rate between the whole seconds at which it is sampled.
	requestStream       = 0x5eed // Second seed word of the requests' random numbers.
	batchPrefixTokens   = 400
)

// request is a request of a caller and its progress.
type request struct {
	id           int
	team         int
	model        int
	entry        int
	arrival      float64
	promptTokens int
	outputTokens int
	prefix       uint64
	prefixTokens int
	batch        bool    // In the batch class, without a deadline for the first token.
	deadline     float64 // Seconds after arrival by which a batch response must be complete.

	progress
}

// work returns the minimum engine time of the request in seconds. A cached prefix
// takes none.
func (r *request) work(cached bool) float64 {
	prompt := r.promptTokens
	if cached {
		prompt -= r.prefixTokens
	}
	return float64(prompt)*promptSeconds + float64(r.outputTokens)*outputSeconds
}

// generate draws the requests of a trace in order of arrival.
func generate(t Trace, f simFleet, seed uint64) []*request {
	g := &generator{trace: t, fleet: f, random: rand.New(rand.NewPCG(seed, requestStream))}
	g.zipf = rand.NewZipf(g.random, zipfExponent, 1, uint64(max(1, t.PrefixesPerTeam-1)))
	for team := range f.teams {
		g.addTeamRequests(team)
	}
	for _, burst := range t.Bursts {
		if burst.Requests > 0 {
			g.addBatch(burst)
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
	fleet    simFleet
	random   *rand.Rand
	zipf     *rand.Zipf
	requests []*request
}

// fleetRate returns the requests per second of the whole fleet at relative rate 1.
func (g *generator) fleetRate() float64 {
	_, share := g.trace.loadAt(0)
	meanWork := g.trace.MeanOutputTokens * outputSeconds / (1 - share)
	return g.trace.Load * float64(len(g.fleet.engines)) / meanWork
}

// addTeamRequests draws a team's requests from a non-homogeneous Poisson process
// by thinning.
func (g *generator) addTeamRequests(team int) {
	teamRate := g.fleetRate() * demandShares[team%len(demandShares)]
	maxRate := teamRate * g.maxRateFactor(team)
	for at := g.random.ExpFloat64() / maxRate; at < g.trace.Seconds; at += g.random.ExpFloat64() / maxRate {
		if g.random.Float64()*maxRate < teamRate*g.rateFactor(team, at) {
			g.addRequest(team, at)
		}
	}
}

// rateFactor returns a team's rate at a time, relative to its base rate.
func (g *generator) rateFactor(team int, at float64) float64 {
	rate, _ := g.trace.loadAt(at)
	for _, burst := range g.trace.Bursts {
		if burst.Team == team && burst.Rate > 0 && at >= burst.At && at < burst.At+burst.Seconds {
			rate *= burst.Rate
		}
	}
	return rate
}

// maxRateFactor returns an upper bound on a team's rate factor, as thinning needs.
func (g *generator) maxRateFactor(team int) float64 {
	peak := 0.0
	for at := 0.0; at <= g.trace.Seconds; at++ {
		peak = max(peak, g.rateFactor(team, at))
	}
	return peak * rateMargin
}

func (g *generator) addRequest(team int, at float64) {
	_, share := g.trace.loadAt(at)
	promptMean := share / (1 - share) * g.trace.MeanOutputTokens * outputSeconds / promptSeconds
	r := &request{
		team:         team,
		model:        g.drawModel(),
		entry:        g.random.IntN(len(g.fleet.dataCentres)),
		arrival:      at,
		promptTokens: g.drawTokens(promptMean, promptLogSigma, maxPromptTokens),
		outputTokens: g.drawTokens(g.trace.MeanOutputTokens, outputLogSigma, maxOutputTokens),
	}
	if r.promptTokens > g.trace.PrefixTokens+minTokens && g.trace.PrefixesPerTeam > 0 {
		r.prefix = uint64(team+1)<<32 | uint64(r.model+1)<<24 | (g.zipf.Uint64() + 1)
		r.prefixTokens = g.trace.PrefixTokens
	}
	g.requests = append(g.requests, r)
}

// addBatch draws a team's batch of similar requests with a common prefix.
func (g *generator) addBatch(burst Burst) {
	for range burst.Requests {
		g.requests = append(g.requests, &request{
			team:         burst.Team,
			model:        0,
			entry:        g.random.IntN(len(g.fleet.dataCentres)),
			arrival:      burst.At + g.random.Float64()*batchArrivalSeconds,
			promptTokens: batchPrefixTokens + g.drawTokens(batchPromptTokens, batchLogSigma, maxPromptTokens),
			outputTokens: g.drawTokens(g.trace.MeanOutputTokens, batchLogSigma, maxOutputTokens),
			prefix:       uint64(burst.Team+1)<<32 | 0xffff,
			prefixTokens: batchPrefixTokens,
			batch:        true,
			deadline:     burst.Deadline,
		})
	}
}

// drawModel returns a random model, weighted by its number of engines.
func (g *generator) drawModel() int {
	remaining := g.random.IntN(len(g.fleet.engines))
	for model := range g.fleet.models {
		remaining -= g.fleet.engineCount(model)
		if remaining < 0 {
			return model
		}
	}
	return 0
}

// drawTokens returns a log-normal number of tokens.
func (g *generator) drawTokens(mean, sigma float64, limit int) int {
	tokens := mean * math.Exp(sigma*g.random.NormFloat64()-sigma*sigma/2)
	return min(max(int(tokens), minTokens), limit)
}
