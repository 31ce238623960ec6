package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/fleet"
	"flamingospar.org/platform/site/sitetest"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Many processes pass on how old the list of endpoints is, each after a moment.
// However often it is passed on, nobody takes it for younger than it is: a
// process that did would not ask the store in time for an endpoint that leaves.
func TestAgeOfTheFleetIsNotLostOnTheWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const transit = 5 * time.Millisecond
		var nodes [3]*Node
		for i := range nodes {
			nodes[i] = &Node{fleet: fleet.New(time.Now)}
		}
		nodes[0].fleet.Apply([]fleet.Row{{Key: "e1", Value: sitetest.EndpointRow(1, 1, false), Version: 1}}, 1, true, 0)
		read := time.Now()
		for i := range 300 {
			teller, asker := nodes[i%3], nodes[(i+1)%3]
			asked := time.Now()
			news := teller.fleet.Since(1)
			time.Sleep(transit)
			asker.TakeNewer(&wirev1.ExchangeStateReply{RowsVersion: news.Version, RowsAgeMs: news.Age.Milliseconds()}, asked)
		}
		for _, node := range nodes {
			require.GreaterOrEqual(t, node.fleet.Age(), time.Since(read))
		}
	})
}
