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

// tellAtOnce bounds the calls in flight when all agents are told.
const tellAtOnce = 64

var errNoAgent = errors.New("crashmarks: no agent is known")

// Agents exchanges marks with the agents of a view. It implements Peers.
type Agents struct {
	view *fleet.View
	next atomic.Uint64
}

// NewAgents returns the peers of view.
func NewAgents(view *fleet.View) *Agents { return &Agents{view: view} }

// TellAll implements Peers.
func (a *Agents) TellAll(ctx context.Context, marks []crash.Mark) {
	request := toWire(marks)
	slots := make(chan struct{}, tellAtOnce)
	var telling sync.WaitGroup
	for _, agent := range a.view.Agents() {
		telling.Add(1)
		slots <- struct{}{}
		go func() {
			defer telling.Done()
			defer func() { <-slots }()
			_, _ = agent.Marks.Exchange(ctx, connect.NewRequest(request))
		}()
	}
	telling.Wait()
}

// Swap implements Peers.
func (a *Agents) Swap(ctx context.Context, marks []crash.Mark) ([]crash.Mark, error) {
	agents := a.view.Agents()
	if len(agents) == 0 {
		return nil, errNoAgent
	}
	agent := agents[a.next.Add(1)%uint64(len(agents))]
	reply, err := agent.Marks.Exchange(ctx, connect.NewRequest(toWire(marks)))
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
