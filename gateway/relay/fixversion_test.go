package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/meter"
	"flamingospar.org/platform/site"
)

// Events of another version are not written, whichever attempt they come from.
func TestEventsOfAnotherVersionAreNotWritten(t *testing.T) {
	s := &stream{relay: &Relay{Meter: meter.NewRegistry()}, job: &Job{}, progress: &progress{}}
	first := &streamCall{endpoint: site.Endpoint{SoftwareVersion: "v1"}}
	require.NoError(t, s.fixVersion(first))
	require.NoError(t, s.fixVersion(first))
	require.NoError(t, s.fixVersion(&streamCall{endpoint: site.Endpoint{SoftwareVersion: "v1"}}))
	require.ErrorIs(t, s.writeEvents(&streamCall{endpoint: site.Endpoint{SoftwareVersion: "v2"}}, []byte("id: 1\n\n")), errOtherVersion)
	require.True(t, s.endCallerLeft().finished)
	require.Equal(t, ReasonBroken, s.progress.Reason)
}
