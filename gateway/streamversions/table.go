package streamversions

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"strings"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/streamversion"
	"flamingospar.org/platform/site"
)

// Table is the table of the store with the versions of each service that are in use, and
// with the streams that were begun while there are several.
const Table = "stream_versions"

// Prefixes of the keys of its rows.
const (
	registerPrefix = "in-use/"
	segmentPrefix  = "streams/"
)

// pageTimeout bounds one call that reads the table, and readTimeout all calls of one read.
const (
	pageTimeout = 600 * time.Millisecond
	readTimeout = 5 * time.Second
)

// Store is where versions and streams are kept.
type Store interface {
	TableByPage(ctx context.Context, table string, pageTimeout time.Duration) (site.Page, error)
	Commit(ctx context.Context, tx site.Tx) (site.Page, error)
	Era() int64
}

// register is the row of a service.
type register struct {
	streamversion.Register
	rowVersion int64 // 0 if there is no row.
	// askedAt is when the call was sent whose answer showed the row, or its absence.
	askedAt time.Time
}

// tableCopy is this process's copy of the table.
type tableCopy struct {
	loaded      bool
	era         int64
	version     int64               // The copy has all changes up to it, and maybe later ones.
	registers   map[string]register // By service.
	segments    map[string]segment  // By key.
	nowMS       int64               // The store's clock at clockAt.
	clockAt     time.Time
	latestMS    int64     // The latest that the store's clock may have been at clockAt.
	requestedAt time.Time // When the last read was sent.
}

func newTableCopy() tableCopy {
	return tableCopy{registers: make(map[string]register), segments: make(map[string]segment)}
}

// moment returns the present moment of the store as the copy tells.
func (c *tableCopy) moment() streamversion.Moment {
	return streamversion.Moment{Era: c.era, NowMS: c.nowMS + clock.Now().Sub(c.clockAt).Milliseconds()}
}

// latest returns the latest that the store's clock may be now.
func (c *tableCopy) latest() int64 {
	return c.latestMS + clock.Now().Sub(c.clockAt).Milliseconds()
}

// observeClock records the store's clock as the answer to a call states it.
func (c *tableCopy) observeClock(page site.Page, requestedAt time.Time) {
	c.nowMS, c.clockAt = page.StoreClockMS, clock.Now()
	c.latestMS = c.nowMS + c.clockAt.Sub(requestedAt).Milliseconds() + 1 // Milliseconds rounds down.
}

// register returns the register of a service.
func (c *tableCopy) register(service string) register {
	r, ok := c.registers[service]
	if !ok {
		r.askedAt = c.requestedAt
	}
	return r
}

// apply replaces the copy by a read. Registers that this process has written since the read
// was answered stay.
func (c *tableCopy) apply(page site.Page, requestedAt time.Time) {
	maps.DeleteFunc(c.registers, func(_ string, r register) bool { return page.Era != c.era || r.rowVersion <= page.Version })
	clear(c.segments)
	c.loaded, c.era, c.version, c.requestedAt = true, page.Era, page.Version, requestedAt
	c.observeClock(page, requestedAt)
	for _, row := range page.Rows {
		c.applyRow(row)
	}
}

func (c *tableCopy) applyRow(row site.Row) {
	service, isRegister := strings.CutPrefix(row.Key, registerPrefix)
	switch {
	case isRegister && c.registers[service].rowVersion > row.Version: // Written here in the meantime.
	case isRegister:
		stored := register{rowVersion: row.Version, askedAt: c.requestedAt}
		if err := json.Unmarshal(row.Value, &stored.Register); err != nil {
			log.Info("A row does not hold the versions of a service; it will be replaced.", "row", row.Key, "reason", err.Error())
			stored.Register = streamversion.Register{Era: unreadableEra}
		}
		c.registers[service] = stored
	case strings.HasPrefix(row.Key, segmentPrefix):
		decoded, err := decodeSegment(row.Value)
		if err != nil {
			log.Info("A row does not hold streams; it will be removed.", "row", row.Key, "reason", err.Error())
		}
		c.segments[row.Key] = decoded
	}
}

// unreadableEra is the era of a row that can't be read: as if it were an older copy.
const unreadableEra = -1

// find returns the service and the version that began a stream, as the segments tell.
func (c *tableCopy) find(id streamversion.StreamID) (found ServiceVersion, ok bool) {
	for _, s := range c.segments {
		begun, recorded := s.streams[id]
		if !recorded {
			continue
		}
		if begun.Version == streamversion.Doubtful || ok && found.Version != begun.Version {
			return ServiceVersion{}, false
		}
		if ok {
			begun = found.merge(begun)
		}
		found, ok = begun, true
	}
	return found, ok
}

// merge returns what two records of a stream tell that name the same version. A process that
// does not know the service records the one to which it sent the take-up, so two that differ
// tell none.
func (v ServiceVersion) merge(other ServiceVersion) ServiceVersion {
	if v.Service != "" && other.Service != "" && v.Service != other.Service {
		return ServiceVersion{Version: v.Version}
	}
	return ServiceVersion{Service: cmp.Or(v.Service, other.Service), Version: v.Version}
}

// flight is a read that is shared by all who asked before it was sent.
type flight struct {
	done chan struct{}
	err  error
}

// refresh reads the table, once for all who wait.
func (t *Tracker) refresh(ctx context.Context) error {
	t.mu.Lock()
	if t.nextFlight == nil {
		t.nextFlight = &flight{done: make(chan struct{})}
	}
	f := t.nextFlight
	if !t.flying {
		t.flying = true
		go t.fly()
	}
	t.mu.Unlock()
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fly makes the reads that are asked for, one after the other.
func (t *Tracker) fly() {
	for {
		t.mu.Lock()
		f := t.nextFlight
		t.nextFlight = nil
		t.flying = f != nil
		t.mu.Unlock()
		if f == nil {
			return
		}
		f.err = t.read()
		close(f.done)
	}
}

// read replaces the copy by the whole table: changes since the copy may be more than fit the
// time. It may take longer than its callers wait: those that ask again then find its result.
func (t *Tracker) read() error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	requestedAt := clock.Now()
	page, err := t.store.TableByPage(ctx, Table, pageTimeout)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.apply(page, requestedAt)
	t.reconcile()
	return nil
}
