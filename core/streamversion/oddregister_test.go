package streamversion_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/streamversion"
)

// Guards against: a register that another writer left, with an era that the store does not have
// or that is uncertain for millions of years, stayed as it was, and no stream of
// the service that was taken up went on any more.
func TestRegisterOfAnOddEraOrTimeIsReplaced(t *testing.T) {
	uses := []streamversion.Use{{Version: "v1"}}
	for name, odd := range map[string]streamversion.Register{
		"era": {Era: 1 << 60, Uses: uses}, "time": {Era: 1, UncertainUntilMS: 1 << 60, Uses: uses},
	} {
		now := at(1, 1000)
		next, _ := odd.Next(streamversion.Observation{Moment: now, Listed: []string{"v1"}, EndUnlisted: true})
		later := at(1, now.NowMS+2*retentionMS)
		_, ok := next.Single(later)
		require.True(t, ok, name)
	}
}
