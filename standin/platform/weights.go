package platform

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Sizes of the weight store.
const (
	defaultWeightsRate = 256 << 20 // Bytes a second, shared by all readers.
	weightsChunk       = 1 << 20   // Bytes.
	maxWeightsBytes    = 1 << 36
)

// weightStore serves weights at a rate that all readers share.
type weightStore struct {
	mu        sync.Mutex
	perSecond int64
	free      time.Time // When the next byte can leave.
}

func newWeightStore() *weightStore { return &weightStore{perSecond: defaultWeightsRate} }

func (s *weightStore) rate() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.perSecond
}

func (s *weightStore) setRate(perSecond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perSecond = perSecond
}

// reserve returns when n bytes, asked for now, will have left.
func (s *weightStore) reserve(n int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(n) / float64(s.perSecond) * float64(time.Second)))
	return s.free
}

func (s *weightStore) await(ctx context.Context, n int64) error {
	timer := time.NewTimer(time.Until(s.reserve(n)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// FetchWeights takes as long as reading size bytes of weights takes now.
func (p *Platform) FetchWeights(ctx context.Context, size int64) error {
	for size > 0 {
		part := min(size, weightsChunk)
		if err := p.weights.await(ctx, part); err != nil {
			return err
		}
		size -= part
	}
	return nil
}

// getWeights streams as many bytes as the query's size says; what they hold
// does not matter to a stand-in.
func (p *Platform) getWeights(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	if err != nil || size < 0 || size > maxWeightsBytes || chi.URLParam(r, "model") == "" {
		http.Error(w, "size is not a number of bytes", http.StatusBadRequest)
		return
	}
	chunk := make([]byte, weightsChunk)
	for size > 0 {
		part := min(size, weightsChunk)
		if p.weights.await(r.Context(), part) != nil {
			return
		}
		if _, err := w.Write(chunk[:part]); err != nil {
			return
		}
		size -= part
	}
}
