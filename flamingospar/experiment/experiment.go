package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"

	"flamingospar.org/standin/fleet"
)

// Options selects the runs and the output.
type Options struct {
	Traces   string // Comma-separated names or files; all built-in traces if empty.
	Policies string // Comma-separated names or "all"; see defaultPolicies if empty.
	Fleet    string // "shedline" or "trust"; both if empty.
	Seeds    int
	OutDir   string // Directory for CSV and plots; none are written if empty.
	Workers  int    // Number of concurrent jobs, each one seed of a trace on a fleet.
}

// DefaultOptions returns the options of `flamingospar experiment` without flags.
func DefaultOptions() Options { return Options{Seeds: 5, Workers: 4} }

// gcPercent trades memory for speed, since a run allocates many short-lived objects.
const gcPercent = 400

// Run runs the simulations and prints a table of the results. With OutDir it also
// writes a CSV file and plots.
func Run(ctx context.Context, options Options, stdout io.Writer) error {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	rows, err := measureAll(ctx, options)
	if err != nil {
		return err
	}
	if err := writeTable(stdout, rows); err != nil {
		return err
	}
	if options.OutDir == "" {
		return nil
	}
	return writeFiles(options.OutDir, rows)
}

func writeFiles(dir string, rows []row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "results.csv"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := writeCSV(file, rows); err != nil {
		return err
	}
	return writePlots(dir, rows)
}

// measureAll runs each policy on each fleet with each trace and seed.
func measureAll(ctx context.Context, options Options) ([]row, error) {
	policies, err := selectPolicies(options.Policies)
	if err != nil {
		return nil, err
	}
	traces, err := selectTraces(options.Traces)
	if err != nil {
		return nil, err
	}
	fleets, err := selectFleets(options.Fleet)
	if err != nil {
		return nil, err
	}
	if options.Seeds < 1 || options.Workers < 1 {
		return nil, fmt.Errorf("--seeds and --workers must be positive; remedy: leave them out for the defaults")
	}
	var rows []row
	var jobs []func()
	for _, f := range fleets {
		for _, t := range traces {
			firstRow := len(rows)
			for _, p := range policies {
				rows = append(rows, row{fleet: f.name, trace: t, policy: p.Name, results: make([]*Result, options.Seeds)})
			}
			rows = append(rows, row{fleet: f.name, trace: t, policy: boundRowName, results: make([]*Result, options.Seeds)})
			group := rows[firstRow:len(rows):len(rows)]
			for seed := range options.Seeds {
				jobs = append(jobs, func() { measureSeed(f, t, policies, group, seed) })
			}
		}
	}
	return rows, runJobs(ctx, options.Workers, jobs)
}

// measureSeed runs all policies with the requests of one seed.
func measureSeed(f simFleet, t Trace, policies []Policy, rows []row, seed int) {
	pcgSeed := uint64(seed + 1)
	requests := generate(t, f, pcgSeed)
	bound, minHours := clairvoyantBound(f, t, requests), minEndpointHours(f, t, requests)
	for i, p := range policies {
		result := run(f, t, p, pcgSeed, generate(t, f, pcgSeed))
		result.bound, result.minEndpointHours = bound, minHours
		rows[i].results[seed] = result
	}
	rows[len(policies)].results[seed] = boundResult(t, requests, bound, minHours)
}

func runJobs(ctx context.Context, workers int, jobs []func()) error {
	queue := make(chan func())
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for job := range queue {
				job()
			}
		}()
	}
	for _, job := range jobs {
		if ctx.Err() != nil {
			break
		}
		queue <- job
	}
	close(queue)
	wg.Wait()
	return ctx.Err()
}

func selectTraces(names string) ([]Trace, error) {
	selected := BuiltinTraces()
	if names != "" {
		selected = strings.Split(names, ",")
	}
	var traces []Trace
	for _, name := range selected {
		trace, err := LoadTrace(name)
		if err != nil {
			return nil, err
		}
		traces = append(traces, trace)
	}
	return traces, nil
}

func selectFleets(name string) ([]simFleet, error) {
	names := []string{"shedline", "trust"}
	if name != "" {
		names = []string{name}
	}
	var fleets []simFleet
	for _, name := range names {
		description, err := fleet.ByName(name)
		if err != nil {
			return nil, err
		}
		f, err := newSimFleet(description)
		if err != nil {
			return nil, err
		}
		fleets = append(fleets, f)
	}
	return fleets, nil
}
