package streamversion

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// maxRecords bounds the streams that a Memory remembers.
const maxRecords = 1 << 15

// StreamID identifies a stream by the request that brought its first event. It is a hash:
// callers choose the IDs of requests.
type StreamID uint64

// IDOf returns the ID of the stream whose first event a request brought.
func IDOf(requestID string) StreamID {
	hash := sha256.Sum256([]byte(requestID))
	return StreamID(binary.BigEndian.Uint64(hash[:8]))
}

// Record is the version that began a stream; Doubtful if it can't be known.
type Record struct {
	ID       StreamID
	Version  string
	Endpoint string // The endpoint that began it; empty if it is not known.
	// OldList is set if the list of endpoints was out of date when it began.
	OldList bool
}

// Doubtful stands for the version of a stream of which an endpoint that had started again
// with other software may have sent the first event.
const Doubtful = ""

// Memory remembers the versions that began the streams of one service, for Retention.
type Memory struct {
	records []remembered // In the order of their times.
	first   int          // Sequence number of records[0].
	byID    map[StreamID]entry
	written int // Sequence number of the first record that was not taken to be written.
}

type remembered struct {
	Record
	at time.Time
}

type entry struct {
	seq     int
	version string
	several bool // Streams of several versions were begun under one ID.
}

// NewMemory returns an empty memory.
func NewMemory() *Memory { return &Memory{byID: make(map[StreamID]entry)} }

// Add remembers a stream.
func (m *Memory) Add(r Record, now time.Time) {
	m.expire(now, maxRecords-1)
	known, ok := m.byID[r.ID]
	if ok && known.version == r.Version && now.Sub(m.records[known.seq-m.first].at) < Retention/2 {
		return
	}
	m.byID[r.ID] = entry{seq: m.first + len(m.records), version: r.Version, several: ok && (known.several || known.version != r.Version)}
	m.records = append(m.records, remembered{Record: r, at: now})
}

// Doubt forgets the versions of the streams that an endpoint began, since it was found to
// have started again with other software.
func (m *Memory) Doubt(endpoint string, now time.Time) {
	for _, r := range m.records {
		if r.Endpoint == endpoint {
			m.Add(Record{ID: r.ID, Version: Doubtful}, now)
		}
	}
}

// DoubtOldList is Doubt for the streams that began while the list of endpoints was out of date.
// The endpoint is found to run a version after it was removed from the list.
func (m *Memory) DoubtOldList(endpoint, version string, now time.Time) {
	for _, r := range m.records {
		if r.Endpoint == endpoint && r.OldList && r.Version != version {
			m.Add(Record{ID: r.ID, Version: Doubtful}, now)
		}
	}
}

// Find returns the version that began a stream, and false if it is not known.
func (m *Memory) Find(id StreamID) (string, bool) {
	known, ok := m.byID[id]
	if !ok || known.several || known.version == Doubtful {
		return "", false
	}
	return known.version, true
}

// InDoubt reports whether the version of the stream last begun under an ID is in doubt.
func (m *Memory) InDoubt(id StreamID) bool {
	known, ok := m.byID[id]
	return ok && known.version == Doubtful
}

// Ambiguous reports whether an ID is remembered of which nobody can know the version.
func (m *Memory) Ambiguous(id StreamID) bool {
	known, ok := m.byID[id]
	return ok && (known.several || known.version == Doubtful)
}

// expire forgets the streams that nobody takes up any more, and the oldest if there are
// more than most.
func (m *Memory) expire(now time.Time, most int) {
	n := 0
	for n < len(m.records) && (now.Sub(m.records[n].at) >= Retention || len(m.records)-n > most) {
		if m.byID[m.records[n].ID].seq == m.first+n {
			delete(m.byID, m.records[n].ID)
		}
		n++
	}
	m.records = m.records[n:]
	m.first += n
	m.written = max(m.written, m.first)
}

// Take returns up to limit records that were not taken before.
func (m *Memory) Take(limit int, now time.Time) []Record {
	m.expire(now, maxRecords)
	var taken []Record
	for m.written < m.first+len(m.records) && len(taken) < limit {
		taken = append(taken, m.records[m.written-m.first].Record)
		m.written++
	}
	return taken
}

// Rewind makes Take return all records again.
func (m *Memory) Rewind() { m.written = m.first }
