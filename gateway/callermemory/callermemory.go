// Package callermemory bounds the memory and the connections that a listener holds for its
// callers. package heldbytes decides; this package adds the clock, the lock and the wait for
// bytes that a dropped caller releases.
package callermemory

import (
	"sync"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/core/heldbytes"
)

const (
	// releaseTime is how long a caller waits for the bytes of one that was dropped.
	releaseTime = time.Second
	// maxLinesPerSec bounds the lines about callers that are dropped.
	maxLinesPerSec = 10
)

var log = logging.For("gateway/callermemory")

// Memory is the budget of one listener. It is safe for concurrent use; a nil Memory bounds
// nothing.
type Memory struct {
	listener Listener
	settings heldbytes.Settings
	meter    *meter.Registry
	lines    logging.LineBudget

	mu       sync.Mutex
	budget   *heldbytes.Budget
	accounts map[*heldbytes.Holder]*Account
	released chan struct{} // Closed at the next release of bytes.
}

// New returns the budget of a listener.
func New(listener Listener, settings heldbytes.Settings, registry *meter.Registry) *Memory {
	return &Memory{
		listener: listener, settings: settings, meter: registry, budget: heldbytes.New(settings),
		accounts: make(map[*heldbytes.Holder]*Account), released: make(chan struct{}),
	}
}

// Held returns the bytes that are held and the number of connections.
func (m *Memory) Held() (bytes int64, connections int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Held(), m.budget.Holders()
}

// Conn is a connection whose caller may be dropped. Its methods are called without locks.
type Conn interface {
	// StopReading ends the read of the request, so that it is refused.
	StopReading()
	// Close closes the connection at once.
	Close() error
}

// Account is what is held for one connection. It is safe for concurrent use; a nil Account
// grants everything.
type Account struct {
	memory *Memory
	conn   Conn
	holder *heldbytes.Holder
}

// NewAccount returns the account of a connection. It must be opened before it is used.
func (m *Memory) NewAccount(conn Conn) *Account {
	if m == nil {
		return nil
	}
	return &Account{memory: m, conn: conn}
}

// Open takes a place for a new connection. If there is none, another connection is closed; if
// all are in use, Open reports false, and the new one must be closed.
func (a *Account) Open() bool {
	if a == nil {
		return true
	}
	m := a.memory
	m.mu.Lock()
	holder, drop := m.budget.Open(time.Now())
	dropped := m.accounts[drop]
	if holder != nil {
		a.holder = holder
		m.accounts[holder] = a
	}
	m.mu.Unlock()
	if holder == nil {
		m.report("connection_refused", m.settings.HolderBytes)
		return false
	}
	if dropped != nil {
		m.report("connection_closed", dropped.held())
		_ = dropped.conn.Close() // The caller may have closed it.
	}
	return true
}

// report counts and logs that a caller is dropped.
func (m *Memory) report(event string, heldByIt int64) {
	m.meter.Count("held", string(m.listener), event)
	ok, omitted := m.lines.Allow(event, maxLinesPerSec)
	if !ok {
		return
	}
	held, connections := m.Held()
	log.Info("The memory or the connections held for callers are used up.", "listener", m.listener, "event", event, "held_by_it", heldByIt,
		"held", held, "limit", m.settings.Bytes, "connections", connections, "max_connections", m.settings.MaxHolders, "lines_omitted", omitted)
}

// Reserve asks for bytes and waits for those of a caller that is dropped for it. If it reports
// false, the request must be refused.
func (a *Account) Reserve(bytes int64) bool {
	if a == nil || bytes <= 0 {
		return true
	}
	if a.reserveWithin(bytes, releaseTime) {
		return true
	}
	if !a.Dropped() { // That was reported.
		a.memory.report("refused", a.held())
	}
	return false
}

// reserveWithin asks for bytes until they are granted or refused, or the time is over.
func (a *Account) reserveWithin(bytes int64, limit time.Duration) bool {
	var timeout <-chan time.Time
	for {
		verdict, released := a.reserve(bytes)
		if verdict != heldbytes.Wait {
			return verdict == heldbytes.Granted
		}
		if timeout == nil {
			timeout = time.After(limit)
		}
		select {
		case <-released:
		case <-timeout:
			return false
		}
	}
}

// TryReserve is Reserve for the buffer of a response, without a wait.
func (a *Account) TryReserve(bytes int64) bool {
	if a == nil || bytes <= 0 {
		return true
	}
	if verdict, _ := a.reserve(bytes); verdict == heldbytes.Granted {
		return true
	}
	a.memory.report("response_unbuffered", a.held())
	return false
}

// reserve asks once. released is closed when it is worth asking again.
func (a *Account) reserve(bytes int64) (verdict heldbytes.Verdict, released <-chan struct{}) {
	m := a.memory
	m.mu.Lock()
	decision := m.budget.Reserve(time.Now(), a.holder, bytes)
	dropped := m.accounts[decision.Drop]
	released = m.released
	m.mu.Unlock()
	if dropped != nil {
		m.report("dropped", dropped.held())
		dropped.conn.StopReading()
		m.announceRelease() // The dropped caller may wait itself.
	}
	return decision.Verdict, released
}

// announceRelease wakes those that wait for bytes.
func (m *Memory) announceRelease() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wake()
}

// wake is announceRelease with m.mu held.
func (m *Memory) wake() {
	close(m.released)
	m.released = make(chan struct{})
}

func (a *Account) held() int64 {
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	return a.holder.Held()
}

// Release returns bytes.
func (a *Account) Release(bytes int64) {
	if a == nil || bytes <= 0 {
		return
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.memory.budget.Release(a.holder, bytes)
	a.memory.wake()
}

// Received records bytes that have arrived. The first ones begin a request.
func (a *Account) Received(bytes int) {
	if a == nil {
		return
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.memory.budget.Received(time.Now(), a.holder, int64(bytes))
}

// Forward records that the request is read and is forwarded now. If it reports false, the
// request must be refused.
func (a *Account) Forward() bool {
	if a == nil {
		return true
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	return a.memory.budget.Forward(a.holder)
}

// Dropped reports whether the caller is dropped.
func (a *Account) Dropped() bool {
	if a == nil {
		return false
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	return a.holder.Dropped()
}

// EndRequest records that the request has ended and the next one is waited for.
func (a *Account) EndRequest() {
	if a == nil {
		return
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.memory.budget.EndRequest(time.Now(), a.holder)
	a.memory.wake()
}

// Close releases everything at the end of the connection.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	if a.holder == nil {
		return // It was not opened.
	}
	a.memory.budget.Close(a.holder)
	delete(a.memory.accounts, a.holder)
	a.memory.wake()
}
