package platform

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Rate and sizes of the weight store.
const (
	defaultWeightsBytesPerSecond = 256 << 20 // Shared by all readers.
	weightsChunkBytes            = 1 << 20
	maxWeightsBytes              = 1 << 36
)

// weightStore limits the rate at which all readers together receive weights.
type weightStore struct {
	mu             sync.Mutex
	bytesPerSecond int64
	freeAt         time.Time // When all reserved bytes will have been sent.
}

func newWeightStore() *weightStore { return &weightStore{bytesPerSecond: defaultWeightsBytesPerSecond} }

func (s *weightStore) rate() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytesPerSecond
}

func (s *weightStore) setRate(bytesPerSecond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytesPerSecond = bytesPerSecond
}

// reserve reserves the next n bytes and returns when they will have been sent.
func (s *weightStore) reserve(n int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(float64(n) / float64(s.bytesPerSecond) * float64(time.Second)))
	return s.freeAt
}

func (s *weightStore) wait(ctx context.Context, n int64) error {
	timer := time.NewTimer(time.Until(s.reserve(n)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// FetchWeights blocks for as long as reading size bytes of weights takes at the
// shared rate.
func (p *Platform) FetchWeights(ctx context.Context, size int64) error {
	for size > 0 {
		n := min(size, weightsChunkBytes)
		if err := p.weights.wait(ctx, n); err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// getWeights streams the number of bytes given by the query parameter size. The
// bytes are zero, since no client reads their content.
func (p *Platform) getWeights(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	if err != nil || size < 0 || size > maxWeightsBytes || chi.URLParam(r, "model") == "" {
		http.Error(w, "size must be a number of bytes within the limit", http.StatusBadRequest)
		return
	}
	chunk := make([]byte, weightsChunkBytes)
	for size > 0 {
		n := min(size, weightsChunkBytes)
		if p.weights.wait(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		size -= n
	}
}
