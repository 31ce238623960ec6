package wholesystem

import (
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"flamingospar.org/base/netx"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// TestLateCopiesDoNotRun sends copies of a run to its agent: a second one, one
// after its deadline, and one meant for the agent's former process.
func TestLateCopiesDoNotRun(t *testing.T) {
	inClaims(t, func(w *world, service *endpoint, _ *rand.Rand) func(*testing.T) {
		client := netx.HTTP2Client(w.network.Host("late"))
		agent := wirev1connect.NewAgentServiceClient(client, "http://agent-"+service.id+":80", connect.WithGRPC())
		send := func(id, process string, deadline time.Duration) string {
			stream := agent.Run(w.ctx)
			defer stream.CloseResponse()
			start := &wirev1.RunStart{
				RunId:              id,
				Team:               w.team,
				KeyId:              "key-1",
				Method:             "POST",
				Path:               "/claims",
				Body:               []byte(id),
				AgentInstance:      process,
				DeadlineUnixMillis: time.Now().Add(deadline).UnixMilli(),
			}
			if err := stream.Send(&wirev1.RunCall{Message: &wirev1.RunCall_Start{Start: start}}); err != nil {
				return err.Error()
			}
			defer stream.CloseRequest()
			for {
				event, err := stream.Receive()
				switch {
				case err != nil:
					return err.Error()
				case event.GetRefused() != nil:
					return event.GetRefused().Code
				case event.GetFinished() != nil:
					return event.GetFinished().Outcome.String()
				}
			}
		}
		told := []string{
			send("run-1", "", 10*time.Second),
			send("run-1", "", 10*time.Second),
			send("run-2", "", -time.Second),
			send("run-3", "former-process", 10*time.Second),
		}
		client.CloseIdleConnections()
		return func(t *testing.T) {
			require.Equal(t, []string{"OUTCOME_RAN", "run_duplicate", "run_expired", "run_other_instance"}, told)
			require.Equal(t, []int{1, 0, 0}, []int{w.runs("run-1"), w.runs("run-2"), w.runs("run-3")})
		}
	})
}
