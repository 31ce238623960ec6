package streamversions

import (
	"context"
	"fmt"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/streamversion"
	"flamingospar.org/platform/site"
)

// Limits of the removal of old segments.
const (
	// segmentMargin is how much longer than Retention streams stay in the store.
	segmentMargin = 5 * time.Second
	// maxRemovals bounds the rows that one transaction removes, of which the store accepts
	// 100.
	maxRemovals = 50
)

// writeStreams writes the streams that were begun while there are several versions, and
// removes old ones.
func (t *Tracker) writeStreams(ctx context.Context) error {
	interval := max(minInterval, time.Duration(t.fleet.Size())*intervalPerProcess)
	if due := t.writer.lastFlushAt.Add(interval); clock.Now().Before(due) {
		t.writer.flushAt = due
		return nil
	}
	t.writer.flushAt = time.Time{}
	t.takeStreams()
	var tx site.Tx
	if t.writer.unsaved {
		value, err := t.writer.segment.encode()
		if err != nil {
			return err
		}
		tx.Put(Table, t.writer.segmentKey, value)
	}
	removed := t.expiredSegments()
	for _, key := range removed {
		tx.Delete(Table, key)
	}
	if len(tx.Puts)+len(tx.Deletes) == 0 {
		return nil
	}
	t.writer.lastFlushAt = clock.Now()
	page, err := t.commit(ctx, tx)
	if err != nil {
		t.writer.renewKey(t.instance) // The write may take effect late, and must replace nothing then.
		return err
	}
	t.streamsWritten(page, removed)
	return nil
}

// renewKey gives the segment a new key: later writes replace no row under the one before.
func (w *writer) renewKey(instance string) {
	w.segments++
	w.segmentKey, w.writes = fmt.Sprintf("%s%s/%d", segmentPrefix, instance, w.segments), 0
}

// takeStreams adds the streams that have to be written to the segment.
func (t *Tracker) takeStreams() {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &t.writer
	full := w.writes >= maxSegmentWrites || len(w.segment.streams) >= maxSegmentStreams
	if w.segmentKey == "" || full && !w.unsaved {
		w.renewKey(t.instance)
		w.unsaved = false
		w.segment = segment{streams: make(map[streamversion.StreamID]ServiceVersion)}
	}
	for name, s := range t.services {
		if !t.severalVersions(name, s) {
			s.recording = false
			continue
		}
		if !s.recording {
			s.recording = true
			s.memory.Rewind()
		}
		for _, record := range s.memory.Take(maxSegmentStreams-len(w.segment.streams), clock.Now()) {
			w.segment.streams[record.ID] = ServiceVersion{Service: name, Version: record.Version}
			w.unsaved = true
		}
	}
	w.segment.writtenMS = t.table.moment().NowMS
}

// streamsWritten records that the segment was written and old ones were removed.
func (t *Tracker) streamsWritten(page site.Page, removed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &t.writer
	if w.unsaved {
		w.unsaved = false
		w.writes++
		t.table.segments[w.segmentKey] = segment{writtenMS: w.segment.writtenMS}
		t.meter.Count("stream_versions", "streams_written")
	}
	for _, key := range removed {
		delete(t.table.segments, key)
	}
}

// expiredSegments returns the keys of old segments, if this process is to remove them.
func (t *Tracker) expiredSegments() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	nowMS := t.table.moment().NowMS
	var expired []string
	for key, s := range t.table.segments {
		if nowMS-s.writtenMS > (streamversion.Retention + segmentMargin).Milliseconds() {
			expired = append(expired, key)
		}
	}
	if len(expired) == 0 || !t.fleet.AmongFirst(registrars) {
		return nil
	}
	return expired[:min(len(expired), maxRemovals)]
}
