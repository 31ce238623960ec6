package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// restoredFleet is a fleet of entry processes before a store that comes back from an
// older copy.
type restoredFleet struct {
	*limitedFleet
}

func newRestoredFleet(t *testing.T, processes int) *restoredFleet {
	return &restoredFleet{(&limitedFleet{harness: newFakesAlone(t)}).start(processes)}
}

// restore takes the store away for a moment and brings it back from a copy. After that,
// change writes what others write before the processes can read again.
func (f *restoredFleet) restore(c sitetest.Copy, change func()) {
	f.store.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	f.store.Restore(c)
	if change != nil {
		change()
	}
	f.store.SetDown(false)
}

// raiseVersion makes the store give out n versions.
func (f *restoredFleet) raiseVersion(n int) {
	for i := range n {
		f.store.Put("other", fmt.Sprint(i%3), i)
	}
}

// on returns a harness that sends requests to one process.
func (f *restoredFleet) on(p *entryProcess) *harness {
	one := &harness{t: f.t, vm: p.vm}
	one.ids.Store(f.ids.Add(1) * 1_000_000)
	return one
}

// requireUnused requires that no process sends requests to an endpoint.
func (f *restoredFleet) requireUnused(e *sitetest.Endpoint) {
	f.t.Helper()
	before := len(e.Requests())
	for _, p := range f.processes {
		for range 10 {
			f.on(p).send(http.MethodPost, plainPath, "key", nil)
		}
	}
	require.Equal(f.t, before, len(e.Requests()), "%s got requests", e.ID)
}

// endpointRow returns the row of a plain endpoint with a heartbeat number.
func endpointRow(e *sitetest.Endpoint, sequence int, state string) map[string]any {
	return e.RowAt(e.Address, sequence, "plain", "dc", state, "")
}

// After the store had come back from a copy, rows had lower versions than before and were
// ignored: an endpoint that was leaving got requests until versions had caught up.
func TestEndpointThatLeavesAfterTheStoreWentBackGetsNoRequests(t *testing.T) {
	for _, times := range []int{1, 2} {
		t.Run(fmt.Sprint(times), func(t *testing.T) {
			f := newRestoredFleet(t, 3)
			stays, leaves := sitetest.NewEndpoint(t, "stays", nil), sitetest.NewEndpoint(t, "leaves", nil)
			for _, e := range []*sitetest.Endpoint{stays, leaves} {
				f.store.Put(site.TableEndpoints, e.ID, endpointRow(e, 1, "ready"))
			}
			c := f.store.Copy()
			f.raiseVersion(50)
			f.store.Put(site.TableEndpoints, stays.ID, endpointRow(stays, 2, "ready"))
			f.waitUntilAllServe(plainPath)
			time.Sleep(500 * time.Millisecond)
			for range times {
				f.restore(c, nil)
			}
			time.Sleep(time.Second)
			f.store.Put(site.TableEndpoints, leaves.ID, endpointRow(leaves, 3, "draining"))
			time.Sleep(f.drainTime())
			f.requireUnused(leaves)
			require.NotEmpty(t, stays.Requests())
		})
	}
}

// drainTime is longer than an endpoint that leaves goes on serving.
func (f *restoredFleet) drainTime() time.Duration { return 800 * time.Millisecond }

// A copy lists an endpoint as ready that was leaving, or had left, when the store went
// away. It must not get requests again.
func TestEndpointThatLeftIsNotUsedAgainFromAnOlderCopy(t *testing.T) {
	f := newRestoredFleet(t, 3)
	stays := sitetest.NewEndpoint(t, "stays", nil)
	leaving, gone, silent := sitetest.NewEndpoint(t, "leaving", nil), sitetest.NewEndpoint(t, "gone", nil), sitetest.NewEndpoint(t, "silent", nil)
	for _, e := range []*sitetest.Endpoint{stays, leaving, gone, silent} {
		f.store.Put(site.TableEndpoints, e.ID, endpointRow(e, 1, "ready"))
	}
	c := f.store.Copy()
	f.waitUntilAllServe(plainPath)
	f.store.Put(site.TableEndpoints, leaving.ID, endpointRow(leaving, 2, "draining"))
	f.store.Put(site.TableEndpoints, gone.ID, endpointRow(gone, 2, "draining"))
	f.store.Delete(site.TableEndpoints, gone.ID)
	f.store.Delete(site.TableEndpoints, silent.ID) // Never said that it leaves.
	time.Sleep(f.drainTime())
	f.restore(c, nil)
	for range 10 {
		time.Sleep(200 * time.Millisecond)
		f.requireUnused(leaving)
		f.requireUnused(gone)
		f.requireUnused(silent)
	}
}

// Endpoints that started after the copy was made are missing in it. They stay in use until
// they have written themselves again.
func TestEndpointThatACopyLacksStaysInUse(t *testing.T) {
	f := newRestoredFleet(t, 2)
	c := f.store.Copy()
	f.raiseVersion(20)
	e := sitetest.NewEndpoint(t, "new", nil)
	f.store.Put(site.TableEndpoints, e.ID, endpointRow(e, 1, "ready"))
	f.waitUntilAllServe(plainPath)
	f.restore(c, nil)
	requireServed := func() {
		t.Helper()
		for _, p := range f.processes {
			require.Equal(t, http.StatusOK, f.on(p).send(http.MethodPost, plainPath, "key", nil).status)
		}
	}
	for range 12 {
		requireServed()
		time.Sleep(100 * time.Millisecond)
	}
	f.store.Put(site.TableEndpoints, e.ID, endpointRow(e, 5, "ready"))
	time.Sleep(3 * time.Second)
	requireServed()
}

// A configuration that was written after the copy, under versions that had been given out
// before, was not read: no process asks for versions below the one that it knows.
func TestConfigurationUnderAReusedVersionIsInForce(t *testing.T) {
	for name, times := range map[string]int{"once": 1, "twice": 2} {
		t.Run(name, func(t *testing.T) {
			f := newRestoredFleet(t, 3)
			e := sitetest.NewEndpoint(t, "e", nil)
			f.store.Put(site.TableEndpoints, e.ID, endpointRow(e, 1, "ready"))
			c := f.store.Copy()
			f.raiseVersion(40)
			f.store.PutRaw(site.TableOperator, site.KeyConfiguration, manifest(2, "key"))
			f.waitUntilAllServe(plainPath)
			for i := range times {
				f.restore(c, func() {
					if i == times-1 {
						f.store.PutRaw(site.TableOperator, site.KeyConfiguration, manifest(3, "new-key"))
						f.raiseVersion(100)
					}
				})
			}
			time.Sleep(1500 * time.Millisecond)
			for _, p := range f.processes {
				require.Equal(t, http.StatusUnauthorized, f.on(p).send(http.MethodPost, plainPath, "key", nil).status)
				require.Equal(t, http.StatusOK, f.on(p).send(http.MethodPost, plainPath, "new-key", nil).status)
			}
		})
	}
}

// An older configuration that a copy brings back is not in force again, neither here nor
// at a process that starts.
func TestCopyBringsNoOlderConfigurationBack(t *testing.T) {
	f := newRestoredFleet(t, 2)
	e := sitetest.NewEndpoint(t, "e", nil)
	f.store.Put(site.TableEndpoints, e.ID, endpointRow(e, 1, "ready"))
	c := f.store.Copy()
	f.store.PutRaw(site.TableOperator, site.KeyConfiguration, manifest(2, "new-key"))
	f.eventually(func() bool {
		for _, p := range f.processes {
			if f.on(p).send(http.MethodPost, plainPath, "new-key", nil).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	f.restore(c, nil)
	started := f.startProcess()
	time.Sleep(time.Second) // A process that starts may take a moment to hear from others.
	for range 10 {
		for _, p := range append(f.processes, started) {
			require.Equal(t, http.StatusUnauthorized, f.on(p).send(http.MethodPost, plainPath, "key", nil).status)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Windows that had been reported before the store went back were reported again with what
// was left of their counts, and two processes acted under one fencing token.
func TestUsageIsReportedOnceAlthoughTheStoreWentBack(t *testing.T) {
	for name, c := range map[string]struct {
		age     time.Duration // Of the copy.
		times   int
		restart bool // The processes are replaced while the store is away.
	}{
		"copy of a few windows":            {3 * time.Second, 1, false},
		"copy from before the first lease": {0, 1, false},
		"twice":                            {3 * time.Second, 2, false},
		"another process takes over":       {3 * time.Second, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakes(t)
			empty := f.store.Copy()
			fleet := &restoredFleet{&limitedFleet{harness: f}}
			for range 3 {
				fleet.startProcess()
			}
			e := sitetest.NewEndpoint(t, "e", nil)
			f.store.Put(site.TableEndpoints, e.ID, endpointRow(e, 1, "ready"))
			fleet.waitUntilAllServe(plainPath)
			stop := fleet.sendSteadily()
			f.eventually(func() bool { return len(f.duties.Reports()) >= 2 })
			copied := empty
			if c.age > 0 {
				copied = f.store.Copy()
				time.Sleep(c.age)
			}
			for range c.times {
				fleet.restore(copied, func() {
					f.store.Put(site.TableEndpoints, e.ID, endpointRow(e, 1, "ready"))
					if c.restart {
						fleet.processes[0].stop()
					}
				})
				time.Sleep(2 * time.Second)
			}
			before := len(f.duties.Reports())
			f.eventually(func() bool { return len(f.duties.Reports()) >= before+3 })
			stop()
			requireReportedOnce(t, f.duties.Reports())
		})
	}
}

// sendSteadily sends requests to all processes until stop is called.
func (f *restoredFleet) sendSteadily() (stop func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(15 * time.Millisecond):
				f.on(f.processes[i%len(f.processes)]).send(http.MethodPost, plainPath, "key", nil)
			}
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

// requireReportedOnce requires that no window was reported with two different counts, and
// that no two holders used one fencing token.
func requireReportedOnce(t *testing.T, reports []sitetest.UsageReport) {
	t.Helper()
	counts := make(map[int64]string)
	holders := make(map[string]string)
	for _, report := range reports {
		got := fmt.Sprint(report.Counts)
		if first, ok := counts[report.Window]; ok {
			require.Equal(t, first, got, "window %d", report.Window)
		}
		counts[report.Window] = got
		if holder, ok := holders[report.FencingToken]; ok {
			require.Equal(t, holder, report.Holder, "fencing token %s", report.FencingToken)
		}
		holders[report.FencingToken] = report.Holder
	}
}
