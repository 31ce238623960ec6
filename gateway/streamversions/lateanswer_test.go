package streamversions_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/streamversions"
)

// Guards against joined streams: the answer to a write of a register arrived after that to a
// read which had been sent later, as after a pause of the process. What was written replaced
// what was read, which another process had changed in between: one version alone seemed to be
// in use.
func TestLateAnswerToAWriteReplacesNoNewerRegister(t *testing.T) {
	for range 30 { // Which of the two answers is processed first is drawn each time.
		synctest.Test(t, lateAnswerToAWrite)
	}
}

func lateAnswerToAWrite(t *testing.T) {
	store := newSimulatedStore()
	slow := &lateAnswers{simulatedStore: store}
	p, q := newProcessOn(t, slow, testFleet{first: true}, "p"), newProcessOn(t, &lateAnswers{simulatedStore: store}, testFleet{first: true}, "q")
	ctx, cancel := context.WithCancel(t.Context())
	const answered = 900 * time.Millisecond
	slow.set(0, answered)
	go p.Run(ctx)
	p.list("v1") // Registered at once, answered late.
	time.Sleep(answered / 2)
	require.Contains(t, store.value("in-use/s"), `"v1"`)
	go q.Run(ctx)
	q.list("v2") // Its engines join; p has not heard of them yet.
	time.Sleep(answered / 10)
	require.Contains(t, store.value("in-use/s"), `"v2"`)
	q.RecordStream("s", "of v2", "v2")
	slow.set(answered-answered/2-answered/10, 0) // Both answers arrive at the same time.
	var joined sync.Map
	var callers sync.WaitGroup
	for i := range 20 {
		callers.Go(func() {
			begun, ok := p.Find(ctx, streamversions.TakeUp{Service: "s", RequestID: fmt.Sprint("again-", i), ResumedRequestID: "of v2"})
			if ok && begun.Version != "v2" {
				joined.Store(i, begun.Version)
			}
		})
	}
	callers.Wait()
	cancel()
	time.Sleep(answered) // Calls that are under way end.
	var got []string
	joined.Range(func(_, version any) bool { got = append(got, version.(string)); return true })
	require.Empty(t, strings.Join(got, " "), "take-ups went on at another version")
}
