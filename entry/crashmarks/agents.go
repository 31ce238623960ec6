package crashmarks

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"

	"flamingospar.org/core/crash"
	"flamingospar.org/entry/fleet"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// maxConcurrentSends limits the concurrent calls of SendToAll.
const maxConcurrentSends = 64

var errNoAgent = errors.New("crashmarks: no agent is known")

// Agents exchanges marks with the agents of a fleet view. It implements Peers.
type Agents struct {
	view *fleet.View
	next atomic.Uint64
}

// NewAgents returns the agents of view as peers.
func NewAgents(view *fleet.View) *Agents { return &Agents{view: view} }

// SendToAll sends marks to all agents. It ignores failed calls.
func (a *Agents) SendToAll(ctx context.Context, marks []crash.Mark) {
	request := toWire(marks)
	semaphore := make(chan struct{}, maxConcurrentSends)
	var wg sync.WaitGroup
	for _, agent := range a.view.Agents() {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			_, _ = agent.CrashMarks.Exchange(ctx, connect.NewRequest(request))
		}()
	}
	wg.Wait()
}

// ExchangeWithOne exchanges marks with the next agent in turn.
func (a *Agents) ExchangeWithOne(ctx context.Context, marks []crash.Mark) ([]crash.Mark, error) {
	agents := a.view.Agents()
	if len(agents) == 0 {
		return nil, errNoAgent
	}
	agent := agents[a.next.Add(1)%uint64(len(agents))]
	reply, err := agent.CrashMarks.Exchange(ctx, connect.NewRequest(toWire(marks)))
	if err != nil {
		return nil, err
	}
	return fromWire(reply.Msg), nil
}

func toWire(marks []crash.Mark) *wirev1.CrashMarks {
	message := new(wirev1.CrashMarks)
	for _, mark := range marks {
		message.Marks = append(message.Marks, &wirev1.CrashMark{
			Fingerprint:       string(mark.Fingerprint),
			Team:              mark.Team,
			Crashes:           mark.Crashes,
			ClearedUnixMillis: mark.Cleared,
		})
	}
	return message
}

func fromWire(message *wirev1.CrashMarks) []crash.Mark {
	var marks []crash.Mark
	for _, mark := range message.Marks {
		marks = append(marks, crash.Mark{
			Fingerprint: crash.Fingerprint(mark.Fingerprint),
			Team:        mark.Team,
			Crashes:     mark.Crashes,
			Cleared:     mark.ClearedUnixMillis,
		})
	}
	return marks
}
