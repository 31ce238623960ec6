package node_test

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/node"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// settingsVariable names the settings of the entry process that a test has started as a process
// of the operating system.
const settingsVariable = "FLAMINGOSPAR_TEST_SETTINGS"

// TestEntryProcess is the entry process that startFreezable starts.
func TestEntryProcess(t *testing.T) {
	path := os.Getenv(settingsVariable)
	if path == "" {
		return // Other tests start it.
	}
	require.NoError(t, node.Run(context.Background(), node.Options{SettingsPath: path}))
}

// freezable is an entry process that can be frozen.
type freezable struct {
	*entryProcess
	t       *testing.T
	process *os.Process
}

// startFreezable starts an entry process as a process of the operating system.
func (f *versionedFleet) startFreezable(vm string) *freezable {
	f.t.Helper()
	p := &entryProcess{vm: sitetest.NewVM(f.t, vm, "dc", f.store.Address, f.duties.Address), done: make(chan error, 1)}
	command := exec.Command(os.Args[0], "-test.run=^TestEntryProcess$")
	command.Env = append(os.Environ(), settingsVariable+"="+p.vm.SettingsPath)
	require.NoError(f.t, command.Start())
	f.t.Cleanup(func() {
		_ = command.Process.Kill() // It may be frozen, and has nothing to lose.
		_ = command.Wait()
	})
	f.awaitReady(p.vm, p.done)
	return &freezable{entryProcess: p, t: f.t, process: command.Process}
}

func (p *freezable) freeze() { require.NoError(p.t, p.process.Signal(syscall.SIGSTOP)) }
func (p *freezable) thaw()   { require.NoError(p.t, p.process.Signal(syscall.SIGCONT)) }

// takeUpAtOnce takes streams up at a process within a time after it is thawed, half of them
// before.
func (f *versionedFleet) takeUpAtOnce(p *freezable, begun []beginning) (wentOn int) {
	f.t.Helper()
	const within = 300 * time.Millisecond
	var callers sync.WaitGroup
	results := make([]result, len(begun))
	callers.Go(func() {
		for i, b := range begun {
			if i == len(begun)/2 {
				p.thaw()
			}
			if i >= len(begun)/2 {
				time.Sleep(2 * within / time.Duration(len(begun)))
			}
			callers.Go(func() { results[i] = f.takeUp(p.entryProcess, b) })
		}
	})
	callers.Wait()
	for i, got := range results {
		if got.status == http.StatusOK {
			require.Equal(f.t, begun[i].version, versionOf(got.body), "the stream %s", begun[i].id)
			wentOn++
		}
	}
	return wentOn
}

// Guards against joined streams: an entry process was frozen while engines of another version
// joined, broke their streams or were the only ones left. Callers took these up there as soon
// as it ran again.
func TestStreamsAreNotJoinedAtAProcessThatWasFrozenDuringARelease(t *testing.T) {
	for name, c := range map[string]struct {
		frozenLater bool // After the first streams of the new version, in place of before it is listed.
		oldLeaves   bool
		newLeaves   bool
	}{
		"after the first streams of the new version": {frozenLater: true},
		"before it is listed, the old one ends":      {oldLeaves: true},
		"before it is listed, it ends":               {newLeaves: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionedFleet(t, 2)
			p := f.startFreezable("vm-p")
			old := f.addEngines("v1", 2)
			for _, q := range append(f.processes, p.entryProcess) {
				f.awaitVersion(q, "v1")
			}
			breakAll(old, true)
			begun := f.begin(f.processes[0], 6)
			f.takeUp(p.entryProcess, begun[0]) // It reads that one version is in use.
			if !c.frozenLater {
				p.freeze()
			}
			added := f.addEngines("v2", 2)
			f.awaitVersion(f.processes[0], "v2")
			breakAll(added, true)
			for range 6 {
				begun = append(begun, f.begin(f.processes[0], 2)...)
			}
			if c.frozenLater {
				p.freeze()
			}
			leaving := map[bool][]*sitetest.VersionedEngine{c.oldLeaves: old, c.newLeaves: added}
			for _, e := range leaving[true] {
				f.store.Delete(site.TableEndpoints, e.ID)
			}
			time.Sleep(settleTime)
			breakAll(old, false)
			breakAll(added, false)
			t.Log(f.takeUpAtOnce(p, begun), "of", len(begun), "went on at once")
			time.Sleep(settleTime)
			wentOn := f.takeUpAll(f.processes[1], begun)
			if len(leaving[true]) == 0 {
				require.GreaterOrEqual(t, float64(wentOn), minTakeUpShare*float64(len(begun)))
			}
		})
	}
}
