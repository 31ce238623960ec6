package load

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// target is a server that requests are sent to. The key is empty for an engine.
type target struct {
	url string
	key string
}

// Result holds the counts and latency percentiles of the requests sent directly
// or through the entry.
type Result struct {
	Requests  int     `json:"requests"`
	Failed    int     `json:"failed"`
	PerSecond float64 `json:"per_second"`
	FirstP50  float64 `json:"first_p50_ms"` // Until the first event of the response.
	FirstP99  float64 `json:"first_p99_ms"`
	TotalP50  float64 `json:"total_p50_ms"` // Until the end of the response.
	TotalP99  float64 `json:"total_p99_ms"`
}

// sample collects the latencies and failures of requests.
type sample struct {
	firstEvent []time.Duration
	total      []time.Duration
	failed     int
	elapsed    time.Duration
}

func (s *sample) add(other sample) {
	s.firstEvent = append(s.firstEvent, other.firstEvent...)
	s.total = append(s.total, other.total...)
	s.failed += other.failed
	s.elapsed += other.elapsed
}

func (s *sample) result() Result {
	slices.Sort(s.firstEvent)
	slices.Sort(s.total)
	return Result{
		Requests:  len(s.total) + s.failed,
		Failed:    s.failed,
		PerSecond: float64(len(s.total)) / s.elapsed.Seconds(),
		FirstP50:  percentile(s.firstEvent, 50),
		FirstP99:  percentile(s.firstEvent, 99),
		TotalP50:  percentile(s.total, 50),
		TotalP99:  percentile(s.total, 99),
	}
}

// percentile returns a percentile of sorted durations, in milliseconds.
func percentile(sorted []time.Duration, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := (len(sorted) - 1) * percent / 100
	return float64(sorted[at].Microseconds()) / 1000
}

type runner struct {
	client      *http.Client
	options     Options
	model       string
	lastRequest atomic.Int64
}

// phase sends count requests with Options.Concurrency workers, in turn to each
// of the targets.
func (r *runner) phase(ctx context.Context, targets []target, count int) sample {
	var remaining atomic.Int64
	remaining.Store(int64(count))
	samples := make([]sample, r.options.Concurrency)
	start := time.Now()
	var workers sync.WaitGroup
	for i := range samples {
		workers.Go(func() {
			for remaining.Add(-1) >= 0 && ctx.Err() == nil {
				r.measureRequest(ctx, targets, &samples[i])
			}
		})
	}
	workers.Wait()
	var all sample
	for _, s := range samples {
		all.add(s)
	}
	all.elapsed = time.Since(start)
	return all
}

func (r *runner) measureRequest(ctx context.Context, targets []target, s *sample) {
	number := r.lastRequest.Add(1)
	start := time.Now()
	first, err := r.streamRequest(ctx, targets[int(number)%len(targets)], number)
	if err != nil {
		s.failed++
		return
	}
	s.firstEvent = append(s.firstEvent, first.Sub(start))
	s.total = append(s.total, time.Since(start))
}

// streamRequest sends one streaming request, reads the response to its end and
// returns the time of the first event.
func (r *runner) streamRequest(ctx context.Context, dest target, number int64) (time.Time, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"request %d"}]}`, r.model, r.options.MaxTokens, number)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, dest.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return time.Time{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	if dest.key != "" {
		request.Header.Set("Authorization", "Bearer "+dest.key)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return time.Time{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return time.Time{}, fmt.Errorf("status %d", response.StatusCode)
	}
	return readEvents(bufio.NewScanner(response.Body))
}

func readEvents(scanner *bufio.Scanner) (time.Time, error) {
	var first time.Time
	done := false
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if first.IsZero() {
			first = time.Now()
		}
		done = done || data == "[DONE]"
	}
	if !done {
		return first, fmt.Errorf("the stream ended without [DONE]")
	}
	return first, scanner.Err()
}
