package observe

import (
	"time"

	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// kindModel is the kind of endpoints that run models.
const kindModel = "model"

// addSpending compares the endpoints with the tokens counted in the windows that
// the entries retain.
func (st *Status) addSpending(replies map[string]*wirev1.ReportReply, window time.Duration) {
	engines := 0
	for _, endpoint := range st.Endpoints {
		st.Spending.Endpoints++
		switch {
		case !endpoint.Ready:
			st.Spending.NotReady++
		case endpoint.Outstanding == 0 && endpoint.Queued == 0:
			st.Spending.Idle++
		}
		if endpoint.Kind == kindModel {
			engines++
		}
	}
	var tokens int64
	windows := make(map[int64]bool)
	for _, reply := range replies {
		for _, count := range reply.Usage {
			windows[count.Window] = true
			tokens += count.Figures.GetPromptTokens() + count.Figures.GetOutputTokens()
		}
	}
	if minutes := float64(len(windows)) * window.Minutes(); minutes > 0 && engines > 0 {
		st.Spending.TokensPerEngineMinute = float64(tokens) / minutes / float64(engines)
	}
}
