// Package load compares the throughput and latency of requests through entry
// and agent with those of requests sent directly to the stand-in engines. Both
// are measured in one run on the local machine, on loopback only, with a bounded
// number of requests and a bounded duration.
package load

import (
	"context"
	"fmt"
	"time"

	"flamingospar.org/base/netx"
	"flamingospar.org/flamingospar/dev"
)

// Upper bounds of the options.
const (
	maxRequests     = 200_000
	maxConcurrency  = 512
	maxRunSeconds   = 120
	maxRounds       = 10
	maxOutputTokens = 1024
)

// Options configure a load test.
type Options struct {
	Fleet       string
	Requests    int // Per phase of each round.
	Concurrency int
	MaxTokens   int // Output tokens per response.
	Rounds      int // Each round has a direct phase and one through the entry.
	Seconds     int // Timeout of the whole run.
}

// DefaultOptions returns options for a run of a few seconds.
func DefaultOptions() Options {
	return Options{Fleet: "shedline", Requests: 2000, Concurrency: 16, MaxTokens: 4, Rounds: 3, Seconds: 60}
}

// OptionRangeError reports an option that is out of range.
type OptionRangeError struct {
	Flag string
	Max  int
}

func (e *OptionRangeError) Error() string {
	return fmt.Sprintf("--%s is out of range; remedy: use a number from 1 to %d", e.Flag, e.Max)
}

func (o Options) check() error {
	ranges := []struct {
		flag       string
		value, max int
	}{
		{"requests", o.Requests, maxRequests},
		{"concurrency", o.Concurrency, maxConcurrency},
		{"max-tokens", o.MaxTokens, maxOutputTokens},
		{"rounds", o.Rounds, maxRounds},
		{"seconds", o.Seconds, maxRunSeconds},
	}
	for _, r := range ranges {
		if r.value < 1 || r.value > r.max {
			return &OptionRangeError{Flag: r.flag, Max: r.max}
		}
	}
	return nil
}

// Report compares direct requests with requests served through entry and agent.
type Report struct {
	Direct  Result       `json:"direct"`
	Served  Result       `json:"served"`
	AddedMs AddedLatency `json:"added_ms"`
}

// AddedLatency is the latency that entry and agent add, in milliseconds.
type AddedLatency struct {
	FirstP50 float64 `json:"first_p50"`
	FirstP99 float64 `json:"first_p99"`
	TotalP50 float64 `json:"total_p50"`
	TotalP99 float64 `json:"total_p99"`
}

// Run starts a dev system with one entry, measures it and stops it.
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
	opts := dev.DefaultOptions()
	opts.Fleet = options.Fleet
	opts.Listen = "127.0.0.1:0"
	opts.OperatorListen = "127.0.0.1:0"
	opts.Entries = 1
	return opts
}

func measure(ctx context.Context, options Options, system *dev.System) (Report, error) {
	model, direct := engineTargets(system)
	served := []target{{url: system.URL, key: system.Keys[0].Key}}
	client := netx.HTTP1Client(netx.TCP{})
	defer client.CloseIdleConnections()
	runner := &runner{client: client, options: options, model: model}
	var directSample, servedSample sample
	runner.phase(ctx, direct, options.Requests/10+1) // Warms up the connections; not counted.
	runner.phase(ctx, served, options.Requests/10+1)
	for range options.Rounds {
		directSample.add(runner.phase(ctx, direct, options.Requests))
		servedSample.add(runner.phase(ctx, served, options.Requests))
	}
	if err := ctx.Err(); err != nil {
		return Report{}, fmt.Errorf("the run exceeded its time limit: %w; remedy: raise --seconds or lower --requests", err)
	}
	return newReport(directSample, servedSample), nil
}

// engineTargets returns the model of the first engine and all engines that serve it.
func engineTargets(system *dev.System) (string, []target) {
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

func newReport(direct, served sample) Report {
	report := Report{Direct: direct.result(), Served: served.result()}
	report.AddedMs = AddedLatency{
		FirstP50: report.Served.FirstP50 - report.Direct.FirstP50,
		FirstP99: report.Served.FirstP99 - report.Direct.FirstP99,
		TotalP50: report.Served.TotalP50 - report.Direct.TotalP50,
		TotalP99: report.Served.TotalP99 - report.Direct.TotalP99,
	}
	return report
}
