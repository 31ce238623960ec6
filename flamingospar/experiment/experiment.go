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

// Options choose what is measured.
type Options struct {
	Trace    string // Names or files, separated by commas; empty: all built-in ones.
	Policies string // Names, separated by commas, or "all"; empty: the usual ones.
	Fleet    string // "shedline", "trust" or empty for both.
	Seeds    int
	Out      string // Directory for CSV and plots; empty: none.
	Workers  int    // Runs at once.
}

// DefaultOptions returns the options of a plain `flamingospar experiment`.
func DefaultOptions() Options { return Options{Seeds: 5, Workers: 4} }

// gcPercent trades memory for speed: a run makes much short-lived garbage.
const gcPercent = 400

// Run measures and prints the table.
func Run(ctx context.Context, options Options, stdout io.Writer) error {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	rows, err := measureAll(ctx, options)
	if err != nil {
		return err
	}
	if err := writeTable(stdout, rows); err != nil {
		return err
	}
	if options.Out == "" {
		return nil
	}
	return writeFiles(options.Out, rows)
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

// measureAll runs each policy over each trace, fleet and seed.
func measureAll(ctx context.Context, options Options) ([]row, error) {
	policies, err := selectPolicies(options.Policies)
	if err != nil {
		return nil, err
	}
	traces, err := selectTraces(options.Trace)
	if err != nil {
		return nil, err
	}
	sites, err := selectSites(options.Fleet)
	if err != nil {
		return nil, err
	}
	if options.Seeds < 1 || options.Workers < 1 {
		return nil, fmt.Errorf("--seeds and --workers must be positive; remedy: leave them out for the defaults")
	}
	var rows []row
	var jobs []func()
	for _, s := range sites {
		for _, t := range traces {
			first := len(rows)
			for _, p := range policies {
				rows = append(rows, row{fleet: s.name, trace: t, policy: p.Name, results: make([]*Result, options.Seeds)})
			}
			rows = append(rows, row{fleet: s.name, trace: t, policy: boundName, results: make([]*Result, options.Seeds)})
			group := rows[first:len(rows):len(rows)]
			for seed := range options.Seeds {
				jobs = append(jobs, func() { measureSeed(s, t, policies, group, seed) })
			}
		}
	}
	return rows, runJobs(ctx, options.Workers, jobs)
}

// measureSeed runs all policies over the requests of one seed.
func measureSeed(s site, t Trace, policies []Policy, rows []row, seed int) {
	drawn := uint64(seed + 1)
	requests := generate(t, s, drawn)
	bound, least := clairvoyant(s, t, requests), leastHours(s, t, requests)
	for i, p := range policies {
		result := run(s, t, p, drawn, generate(t, s, drawn))
		result.bound, result.leastHours = bound, least
		rows[i].results[seed] = result
	}
	rows[len(policies)].results[seed] = boundResult(t, requests, bound, least)
}

func runJobs(ctx context.Context, workers int, jobs []func()) error {
	queue := make(chan func())
	var running sync.WaitGroup
	for range workers {
		running.Add(1)
		go func() {
			defer running.Done()
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
	running.Wait()
	return ctx.Err()
}

func selectTraces(names string) ([]Trace, error) {
	wanted := BuiltinTraces()
	if names != "" {
		wanted = strings.Split(names, ",")
	}
	var traces []Trace
	for _, name := range wanted {
		trace, err := LoadTrace(name)
		if err != nil {
			return nil, err
		}
		traces = append(traces, trace)
	}
	return traces, nil
}

func selectSites(name string) ([]site, error) {
	names := []string{"shedline", "trust"}
	if name != "" {
		names = []string{name}
	}
	var sites []site
	for _, name := range names {
		described, err := fleet.ByName(name)
		if err != nil {
			return nil, err
		}
		s, err := siteOf(described)
		if err != nil {
			return nil, err
		}
		sites = append(sites, s)
	}
	return sites, nil
}
