// Package load measures, in one run on this machine, requests a second and
// latency of calls through entry and agent against calls of the stand-in
// engines themselves. It runs on loopback only and is bounded in count and time.
package load

import (
	"context"
	"fmt"
	"time"

	"flamingospar.org/base/netx"
	"flamingospar.org/flamingospar/dev"
)

// Bounds of a run.
const (
	maxRequests    = 200_000
	maxConcurrency = 512
	maxSeconds     = 120
	maxRounds      = 10
)

// Options choose how much load is put on.
type Options struct {
	Fleet       string
	Requests    int // In each phase of each round.
	Concurrency int
	MaxTokens   int // Output tokens of each answer.
	Rounds      int // Each round has a direct and a served phase.
	Seconds     int // Bound on the whole run.
}

// DefaultOptions returns a run of a few seconds.
func DefaultOptions() Options {
	return Options{Fleet: "shedline", Requests: 2000, Concurrency: 16, MaxTokens: 4, Rounds: 3, Seconds: 60}
}

// Problem is an option out of range.
type Problem struct {
	Flag string
	Max  int
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("--%s is out of range; remedy: write a number from 1 to %d", p.Flag, p.Max)
}

func (o Options) check() error {
	ranges := []struct {
		flag       string
		value, max int
	}{
		{"requests", o.Requests, maxRequests},
		{"concurrency", o.Concurrency, maxConcurrency},
		{"max-tokens", o.MaxTokens, 1024},
		{"rounds", o.Rounds, maxRounds},
		{"seconds", o.Seconds, maxSeconds},
	}
	for _, r := range ranges {
		if r.value < 1 || r.value > r.max {
			return &Problem{Flag: r.flag, Max: r.max}
		}
	}
	return nil
}

// Report compares the two ways.
type Report struct {
	Direct  Figures `json:"direct"`
	Served  Figures `json:"served"`
	AddedMs Added   `json:"added_ms"`
}

// Added is what entry and agent add to the latency, in milliseconds.
type Added struct {
	FirstP50 float64 `json:"first_p50"`
	FirstP99 float64 `json:"first_p99"`
	TotalP50 float64 `json:"total_p50"`
	TotalP99 float64 `json:"total_p99"`
}

// Run starts a dev system with one entry, measures and stops it.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.check(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(options.Seconds)*time.Second)
	defer cancel()
	systemContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	system, err := dev.Start(systemContext, devOptions(options))
	if err != nil {
		stop()
		return Report{}, err
	}
	defer system.Wait()
	defer stop()
	return measure(ctx, options, system)
}

func devOptions(options Options) dev.Options {
	chosen := dev.DefaultOptions()
	chosen.Fleet = options.Fleet
	chosen.Listen = "127.0.0.1:0"
	chosen.OperatorListen = "127.0.0.1:0"
	chosen.Entries = 1
	return chosen
}

func measure(ctx context.Context, options Options, system *dev.System) (Report, error) {
	model, direct := enginesOf(system)
	served := []target{{url: system.URL, key: system.Keys[0].Key}}
	client := netx.HTTP1Client(netx.TCP{})
	defer client.CloseIdleConnections()
	runner := &runner{client: client, options: options, model: model}
	var directSample, servedSample sample
	runner.phase(ctx, direct, options.Requests/10+1) // Opens connections; not counted.
	runner.phase(ctx, served, options.Requests/10+1)
	for range options.Rounds {
		directSample.add(runner.phase(ctx, direct, options.Requests))
		servedSample.add(runner.phase(ctx, served, options.Requests))
	}
	if err := ctx.Err(); err != nil {
		return Report{}, fmt.Errorf("the run did not end in time: %w; remedy: raise --seconds or lower --requests", err)
	}
	return reportOf(directSample, servedSample), nil
}

// enginesOf returns the first engine's model and all engines that run it.
func enginesOf(system *dev.System) (string, []target) {
	model := ""
	var targets []target
	for _, endpoint := range system.Standins.Endpoints {
		if endpoint.Model == "" || (model != "" && endpoint.Model != model) {
			continue
		}
		model = endpoint.Model
		targets = append(targets, target{url: endpoint.URL})
	}
	return model, targets
}

func reportOf(direct, served sample) Report {
	report := Report{Direct: direct.figures(), Served: served.figures()}
	report.AddedMs = Added{
		FirstP50: report.Served.FirstP50 - report.Direct.FirstP50,
		FirstP99: report.Served.FirstP99 - report.Direct.FirstP99,
		TotalP50: report.Served.TotalP50 - report.Direct.TotalP50,
		TotalP99: report.Served.TotalP99 - report.Direct.TotalP99,
	}
	return report
}
