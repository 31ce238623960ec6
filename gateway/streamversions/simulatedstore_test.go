package streamversions_test

import (
	"context"
	"sync"
	"time"

	"flamingospar.org/platform/site"
)

// simulatedStore is a store in simulated time.
type simulatedStore struct {
	mu      sync.Mutex
	rows    map[string]site.Row
	version int64
	began   time.Time
}

func newSimulatedStore() *simulatedStore {
	return &simulatedStore{rows: make(map[string]site.Row), began: time.Now()}
}

func (s *simulatedStore) page() site.Page {
	return site.Page{Version: s.version, StoreClockMS: time.Since(s.began).Milliseconds() + 1}
}

func (s *simulatedStore) read() site.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := s.page()
	for _, row := range s.rows {
		page.Rows = append(page.Rows, row)
	}
	return page
}

func (s *simulatedStore) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.rows[key].Value)
}

func (s *simulatedStore) commit(tx site.Tx) (site.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, condition := range tx.Conditions {
		if s.rows[condition.Key].Version != condition.Version {
			return s.page(), site.ErrConflict
		}
	}
	s.version++
	for _, put := range tx.Puts {
		s.rows[put.Key] = site.Row{Table: put.Table, Key: put.Key, Value: put.Value, Version: s.version}
	}
	for _, removed := range tx.Deletes {
		delete(s.rows, removed.Key)
	}
	return s.page(), nil
}

// lateAnswers is a store whose answers arrive at given times after they were asked for.
type lateAnswers struct {
	*simulatedStore
	mu   sync.Mutex
	read time.Duration
	tx   time.Duration
}

func (s *lateAnswers) delays() (read, tx time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read, s.tx
}

func (s *lateAnswers) set(read, tx time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read, s.tx = read, tx
}

// Era implements streamversions.Store.
func (*lateAnswers) Era() int64 { return 0 }

// TableByPage implements streamversions.Store.
func (s *lateAnswers) TableByPage(context.Context, string, time.Duration) (site.Page, error) {
	page := s.simulatedStore.read()
	read, _ := s.delays()
	time.Sleep(read)
	return page, nil
}

// Commit implements streamversions.Store.
func (s *lateAnswers) Commit(_ context.Context, tx site.Tx) (site.Page, error) {
	page, err := s.commit(tx)
	_, late := s.delays()
	time.Sleep(late)
	return page, err
}
