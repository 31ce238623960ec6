package peers

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"flamingospar.org/platform/site/sitetest"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Guards against: a reply of a process that stopped at any byte was taken for a whole one, with
// no configuration, endpoints or load.
func TestReplyThatStopsAtAnyByteIsNotApplied(t *testing.T) {
	message, err := proto.Marshal(&wirev1.ExchangeStateReply{State: &wirev1.PeerState{Vm: "b", Instance: "b/1", ConfigurationVersion: 9}, Configuration: make([]byte, 9)})
	require.NoError(t, err)
	for framing, rest := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(message), message),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(message), message),
	} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			answer := "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n" + rest
			for end := range len(answer) + 1 {
				other := sitetest.NewConnEndpoint(t, "b", func(conn net.Conn, _ *http.Request, _ int) bool {
					_, _ = io.WriteString(conn, answer[:end]) // The client sees a truncated response.
					return false
				})
				c, state := newProcess(t, "a", 5)
				applyList(t, c, Member{VM: "b", Address: other.Address, DataCentre: "dc-1", Instance: "b/1"})
				err := c.exchangeState(t.Context(), c.members["b"], false)
				if end == len(answer) {
					require.NoError(t, err)
					require.EqualValues(t, 9, state.heldVersion())
					continue
				}
				require.Error(t, err, "%q", answer[:end])
				require.EqualValues(t, 5, state.heldVersion())
				require.Empty(t, state.mergedFrom)
			}
		})
	}
}
