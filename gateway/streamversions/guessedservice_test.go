package streamversions_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against a stream that is refused though its version is written down: a process that
// took it up without knowing its service recorded another one than the process that began it.
func TestRecordsOfSeveralServicesAtOneVersionAgree(t *testing.T) {
	store := sitetest.NewStore(t)
	services := []string{"a", "b"}
	start := func(name string) *process {
		p := newProcess(t, store, name, true)
		p.Sharing = func(string) []string { return services }
		p.run()
		listAt(p, "a1", "a", "v1")
		listAt(p, "b1", "b", "v1")
		return p
	}
	p, q := start("p"), start("q")
	p.RecordStream("a", "x", "v1")
	taken := streamversions.TakeUp{Service: "b", Services: services, RequestID: "again", ResumedRequestID: "x"}
	_, ok := q.Find(t.Context(), taken)
	require.True(t, ok, "one version is in use")
	listAt(p, "a2", "a", "v2")
	listAt(q, "a2", "a", "v2")
	time.Sleep(2 * time.Second) // Both are written down.
	p.stop()
	q.stop()
	begun, ok := start("r").Find(t.Context(), taken)
	require.True(t, ok)
	require.Equal(t, "v1", begun.Version)
}
