package journal

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestJournalIsBoundedAndFindsByField(t *testing.T) {
	const capacity = 8
	j := New("entry-1", capacity)
	for i := range 20 {
		j.Record(Event{Request: fmt.Sprintf("req-%d", i), Team: fmt.Sprintf("team-%d", i%2)})
	}
	require.Len(t, j.Find(Query{}), capacity)
	require.Empty(t, j.Find(Query{Request: "req-11"}), "overwritten")
	found := j.Find(Query{Team: "team-1", Limit: 3})
	require.Len(t, found, 3)
	require.Equal(t, "req-15", found[0].Request)
	require.Equal(t, "req-19", found[2].Request)
	require.Equal(t, "entry-1", found[2].Process)
}

func TestLogLinesBecomeEvents(t *testing.T) {
	j := New("agent-1", 8)
	j.Log("agent/orders", "The endpoint refused an order.", errors.New("outdated"), []any{"endpoint", "assess-1", "order", 7})
	found := j.Find(Query{Endpoint: "assess-1"})
	require.Len(t, found, 1)
	require.Equal(t, []Fact{{"error", "outdated"}, {"order", "7"}}, found[0].Facts)
}
