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

// target is where requests go; key is empty for an engine itself.
type target struct {
	url string
	key string
}

// Figures are the result of one way.
type Figures struct {
	Requests  int     `json:"requests"`
	Failed    int     `json:"failed"`
	PerSecond float64 `json:"per_second"`
	FirstP50  float64 `json:"first_p50_ms"` // Until the first event of the answer.
	FirstP99  float64 `json:"first_p99_ms"`
	TotalP50  float64 `json:"total_p50_ms"` // Until the end of the answer.
	TotalP99  float64 `json:"total_p99_ms"`
}

// sample gathers the latencies of one way over all rounds.
type sample struct {
	first  []time.Duration
	total  []time.Duration
	failed int
	took   time.Duration
}

func (s *sample) add(other sample) {
	s.first = append(s.first, other.first...)
	s.total = append(s.total, other.total...)
	s.failed += other.failed
	s.took += other.took
}

func (s *sample) figures() Figures {
	slices.Sort(s.first)
	slices.Sort(s.total)
	return Figures{
		Requests:  len(s.total) + s.failed,
		Failed:    s.failed,
		PerSecond: float64(len(s.total)) / s.took.Seconds(),
		FirstP50:  percentile(s.first, 50),
		FirstP99:  percentile(s.first, 99),
		TotalP50:  percentile(s.total, 50),
		TotalP99:  percentile(s.total, 99),
	}
}

// percentile returns a percentile of sorted durations in milliseconds.
func percentile(sorted []time.Duration, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := (len(sorted) - 1) * percent / 100
	return float64(sorted[at].Microseconds()) / 1000
}

type runner struct {
	client  *http.Client
	options Options
	model   string
	number  atomic.Int64
}

// phase sends count requests by Concurrency workers, spread over the targets.
func (r *runner) phase(ctx context.Context, targets []target, count int) sample {
	var left atomic.Int64
	left.Store(int64(count))
	parts := make([]sample, r.options.Concurrency)
	began := time.Now()
	var workers sync.WaitGroup
	for i := range parts {
		workers.Go(func() {
			for left.Add(-1) >= 0 && ctx.Err() == nil {
				r.one(ctx, targets, &parts[i])
			}
		})
	}
	workers.Wait()
	var all sample
	for _, part := range parts {
		all.add(part)
	}
	all.took = time.Since(began)
	return all
}

func (r *runner) one(ctx context.Context, targets []target, into *sample) {
	number := r.number.Add(1)
	began := time.Now()
	first, err := r.stream(ctx, targets[int(number)%len(targets)], number)
	if err != nil {
		into.failed++
		return
	}
	into.first = append(into.first, first.Sub(began))
	into.total = append(into.total, time.Since(began))
}

// stream sends one request and returns when its first event came.
func (r *runner) stream(ctx context.Context, to target, number int64) (time.Time, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"request %d"}]}`, r.model, r.options.MaxTokens, number)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, to.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return time.Time{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	if to.key != "" {
		request.Header.Set("Authorization", "Bearer "+to.key)
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
		return first, fmt.Errorf("the stream broke off")
	}
	return first, scanner.Err()
}
