package peers

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// known is what a process of these tests knows.
type known struct {
	vm string

	mu      sync.Mutex
	version int64
	raw     []byte
	taken   []string // VMs whose state was taken.
	asked   time.Time
	slow    time.Duration // How long it takes to answer.
}

func (k *known) State(string, bool) *wirev1.PeerState {
	time.Sleep(k.slow)
	k.mu.Lock()
	defer k.mu.Unlock()
	return &wirev1.PeerState{Vm: k.vm, Instance: k.vm + "/1", ConfigurationVersion: k.version}
}

func (k *known) TakeState(state *wirev1.PeerState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.taken = append(k.taken, state.GetVm())
}

func (k *known) Newer(state *wirev1.PeerState, reply *wirev1.ExchangeStateReply) {
	reply.Configuration = k.NewerConfiguration(state)
}

func (k *known) TakeNewer(reply *wirev1.ExchangeStateReply, asked time.Time) {
	k.asked = asked
	if len(reply.GetConfiguration()) > 0 {
		k.TakeConfiguration("", reply.GetConfiguration())
	}
}

func (k *known) NewerConfiguration(state *wirev1.PeerState) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.version <= state.GetConfigurationVersion() {
		return nil
	}
	return k.raw
}

func (k *known) TakeConfiguration(_ string, raw []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.raw = raw
	k.version = int64(len(raw)) // In these tests a configuration's version is its length.
}

func (k *known) holds() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version
}

func (k *known) StoreLost() bool   { return false }
func (k *known) MemberGone(string) {}

// process is a circle that serves, and what it knows.
func process(t *testing.T, vm string, version int64) (*Circle, *known) {
	t.Helper()
	k := &known{vm: vm, version: version, raw: make([]byte, version)}
	server := httptest.NewUnstartedServer(nil)
	self := Member{VM: vm, Address: server.Listener.Addr().String(), DataCentre: "dc-1", Instance: vm + "/1"}
	c := New(self, nil, nil, k)
	_, server.Config.Handler = c.Handler()
	server.Start()
	t.Cleanup(server.Close)
	return c, k
}

// list has a circle read members from the store's list.
func list(t *testing.T, c *Circle, members ...Member) {
	t.Helper()
	var page site.Page
	for _, member := range members {
		value, err := json.Marshal(member)
		require.NoError(t, err)
		page.Rows = append(page.Rows, site.Row{Key: member.VM, Value: value})
	}
	c.Apply(page, true)
}

func memberNames(c *Circle) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for vm := range c.members {
		names = append(names, vm)
	}
	return strings.Join(names, ",")
}

// One process has lost the answer to its call for the configuration. It is sent
// the newer one by a process that finds it behind, or takes it from the reply to
// its own call.
func TestAProcessThatIsBehindGetsTheConfiguration(t *testing.T) {
	for name, versions := range map[string][2]int64{"the one called": {9, 5}, "the caller": {5, 9}} {
		t.Run(name, func(t *testing.T) {
			a, caller := process(t, "a", versions[0])
			b, called := process(t, "b", versions[1])
			list(t, a, b.self)
			require.NoError(t, a.tell(t.Context(), a.members["b"], false))
			require.EqualValues(t, 9, caller.holds())
			require.EqualValues(t, 9, called.holds())
		})
	}
}

// One process has lost the answer to its call for the list. It learns of a
// process that is not on the list it read from that process's own call.
func TestACallerThatIsNotListedBecomesAMember(t *testing.T) {
	a, _ := process(t, "a", 5)
	b, _ := process(t, "b", 5)
	list(t, a, b.self)
	require.Empty(t, memberNames(b))
	require.NoError(t, a.tell(t.Context(), a.members["b"], false))
	require.Equal(t, "a", memberNames(b))
}

// A call that was under way when its sender was taken off the list does not put
// it back.
func TestALateCallDoesNotBringAProcessBack(t *testing.T) {
	a, _ := process(t, "a", 5)
	b, _ := process(t, "b", 5)
	list(t, a, b.self)
	list(t, b, a.self)
	list(t, b)
	require.NoError(t, a.tell(t.Context(), a.members["b"], false))
	require.Empty(t, memberNames(b))
	restarted := a.self
	restarted.Instance = "a/2"
	list(t, b, restarted)
	require.NoError(t, a.tell(t.Context(), a.members["b"], false))
	require.Equal(t, "a/2", b.members["a"].Instance, "the former instance took the place of the new one")
}

// In a data centre of up to twelve others all pairs exchange, though each
// process calls only half of the others.
func TestAllPairsOfADataCentreExchange(t *testing.T) {
	for _, size := range []int{2, 3, 4, 9, 13} {
		told := make(map[string]int)
		for i := range size {
			c := New(Member{VM: fmt.Sprint("vm-", i), DataCentre: "dc-1"}, nil, nil, nil)
			for j := range size {
				c.add(Member{VM: fmt.Sprint("vm-", j), Address: "a", DataCentre: "dc-1"})
			}
			near, far := c.partners()
			require.Empty(t, far)
			require.LessOrEqual(t, len(near), size/2)
			for _, p := range near {
				told[c.self.VM+" "+p.VM]++
				told[p.VM+" "+c.self.VM]++
			}
		}
		require.Len(t, told, size*(size-1), "of %d processes", size)
	}
}

// The first processes look after the fleet's duties. When they are silent the
// next ones do, whether or not they call them themselves.
func TestTheNextTakeThePlaceOfSilentProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"vm-0", "vm-1", "vm-2", "vm-3"}
		slices.SortFunc(names, func(a, b string) int { return cmp.Compare(place(a), place(b)) })
		last := New(Member{VM: names[3], DataCentre: "dc-1"}, nil, nil, nil)
		for _, vm := range names[:3] {
			last.add(Member{VM: vm, Address: "a", DataCentre: "dc-2", Instance: vm + "/1"})
		}
		require.False(t, last.AmongFirst(3))
		time.Sleep(aliveFor - time.Second)
		for _, vm := range names[:2] {
			last.learn(&wirev1.ExchangeStateRequest{Address: "a", DataCentre: "dc-2", State: &wirev1.PeerState{Vm: vm, Instance: vm + "/1"}})
		}
		time.Sleep(time.Second)
		require.True(t, last.AmongFirst(3), "one of the first was not heard of")
		require.False(t, last.AmongFirst(2))
	})
}

// The store turns the first processes away and answers the others: these look
// after the duties (lshrt-recall-grown fresh-9b48: nobody for 13 s, since all
// three candidates were turned away).
func TestTheNextTakeThePlaceOfProcessesWithoutTheStore(t *testing.T) {
	names := []string{"vm-0", "vm-1", "vm-2"}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(place(a), place(b)) })
	last := New(Member{VM: names[2], DataCentre: "dc-1"}, nil, nil, nil)
	tells := func(vm string, lost bool) {
		last.learn(&wirev1.ExchangeStateRequest{Address: "a", DataCentre: "dc-2", State: &wirev1.PeerState{Vm: vm, Instance: vm + "/1", StoreLost: lost}})
	}
	for _, vm := range names[:2] {
		tells(vm, false)
	}
	require.False(t, last.AmongFirst(2))
	tells(names[0], true)
	require.True(t, last.AmongFirst(2))
	require.False(t, last.AmongFirst(1))
	tells(names[0], false)
	require.False(t, last.AmongFirst(2))
}

// A process starts while the store, which lists the others, is away. It learns
// of them from a seed, and they of it.
func TestNewProcessJoinsBySeeds(t *testing.T) {
	a, _ := process(t, "a", 5)
	b, _ := process(t, "b", 9)
	list(t, b, Member{VM: "c", Address: "127.0.0.1:1", DataCentre: "dc-2", Instance: "c/1"})
	a.seeds = []string{"127.0.0.1:1", a.self.Address, b.self.Address}
	a.joinIfAlone(t.Context())
	require.Eventually(t, func() bool { return len(memberNames(a)) == len("b,c") }, 5*time.Second, 5*time.Millisecond)
	require.Contains(t, memberNames(b), "a")

	// Who has read that there are no others asks nobody.
	d, _ := process(t, "d", 5)
	d.seeds = []string{b.self.Address}
	list(t, d)
	d.joinIfAlone(t.Context())
	require.Zero(t, d.joined)
}

// What a slow process tells is at least as old as the question.
func TestWhatIsToldIsAsOldAsTheQuestion(t *testing.T) {
	a, asking := process(t, "a", 5)
	b, slow := process(t, "b", 5)
	slow.slow = 100 * time.Millisecond
	list(t, a, b.self)
	before := time.Now()
	require.NoError(t, a.tell(t.Context(), a.members["b"], false))
	require.WithinRange(t, asking.asked, before, before.Add(slow.slow/2))
}
