package execute_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/agent/execute"
	"flamingospar.org/agent/pipeline"
	"flamingospar.org/base/netx"
	"flamingospar.org/platform/engine"
	"flamingospar.org/platform/plain"
	"flamingospar.org/platform/site/sitetest"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// noCrashes records no crashes.
type noCrashes struct{}

func (noCrashes) RecordCrash(*pipeline.Run, string) {}

// newExecutors returns an executor of each kind for an endpoint.
func newExecutors(url string) map[string]pipeline.Executor {
	client := netx.UnpooledHTTP1Client(netx.TCP{})
	detector := execute.NewCrashDetector(netx.TCP{}, url, "agent", noCrashes{})
	health := execute.NewHealthChecker(detector, func(bool) {})
	limits := execute.SilenceLimits{First: time.Minute, Next: time.Minute}
	return map[string]pipeline.Executor{
		"service": execute.NewServiceExecutor(plain.NewClient(url, client, client), detector, health, limits),
		"model":   execute.NewModelExecutor(engine.NewClient(url, client), detector, health, limits),
	}
}

// Guards against: a run whose endpoint stopped within its answer was reported as ended.
func TestRunWhoseAnswerStopsHasNoKnownOutcome(t *testing.T) {
	// enough is the part of the body that tells that a generation has ended.
	const enough, rest = "data: {\"choices\":[{\"text\":\"one\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]", "\n\n"
	for framing, parts := range map[string][2]string{
		"length": {fmt.Sprintf("Content-Length: %d\r\n\r\n", len(enough+rest)), ""},
		"chunks": {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(enough+rest)), "\r\n0\r\n\r\n"},
	} {
		head := "HTTP/1.1 200 OK\r\n" + parts[0]
		answer := head + enough + rest + parts[1]
		for kind, told := range map[string]int{"service": len(answer), "model": len(head + enough)} {
			t.Run(framing+", "+kind, func(t *testing.T) {
				t.Parallel()
				for end := range len(answer) + 1 {
					endpoint := sitetest.NewConnEndpoint(t, "e", func(conn net.Conn, _ *http.Request, _ int) bool {
						_, _ = io.WriteString(conn, answer[:end]) // The client sees a truncated response.
						return false
					})
					run := &pipeline.Run{
						Start: &wirev1.RunStart{RunId: "r", Method: http.MethodGet, Path: "/"}, Deadline: time.Now().Add(time.Minute),
						Send: func(*wirev1.RunEvent) error { return nil },
					}
					finished := newExecutors("http://" + endpoint.Address)[kind].Execute(t.Context(), run)
					want := wirev1.Outcome_OUTCOME_UNKNOWN
					if end >= told {
						want = wirev1.Outcome_OUTCOME_RAN
					}
					require.Equal(t, want, finished.Outcome, "%q", answer[:end])
				}
			})
		}
	}
}
