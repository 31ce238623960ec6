package peers

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/core/streamversion"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Limits of a question for a stream.
const (
	// maxAsked bounds the processes that are asked, those of this data centre first.
	maxAsked = 12
	// findStreamTimeout bounds the wait for their answers.
	findStreamTimeout = 150 * time.Millisecond
)

// FindStream asks other processes for the version that began a stream, and returns the first
// that one knows.
func (c *Cluster) FindStream(ctx context.Context, id uint64) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, findStreamTimeout)
	defer cancel()
	asked := c.toAsk()
	answers := make(chan *wirev1.FindStreamReply, len(asked))
	for _, p := range asked {
		go func() { answers <- c.askForStream(ctx, p, id) }()
	}
	for range asked {
		select {
		case answer := <-answers:
			if answer.GetKnown() && answer.GetVersion() != streamversion.Doubtful {
				return answer.GetVersion(), true
			}
		case <-ctx.Done():
			return "", false
		}
	}
	return "", false
}

// toAsk returns the processes to ask.
func (c *Cluster) toAsk() []*peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var local, remote []*peer
	for _, p := range c.members {
		switch {
		case time.Since(p.lastSeen) >= livenessTimeout:
		case p.DataCentre == c.self.DataCentre:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	all := append(local, remote...)
	return all[:min(len(all), maxAsked)]
}

// askForStream returns the answer of one process, nil if it gives none.
func (c *Cluster) askForStream(ctx context.Context, p *peer, id uint64) *wirev1.FindStreamReply {
	var reply *connect.Response[wirev1.FindStreamReply]
	var err error
	panicErr := c.Supervisor.Call("find_stream", func() {
		reply, err = p.client.FindStream(ctx, connect.NewRequest(&wirev1.FindStreamRequest{Stream: id}))
	})
	if panicErr != nil || err != nil {
		return nil
	}
	return reply.Msg
}

// FindStream serves a process that asks for a stream.
func (h serviceHandler) FindStream(_ context.Context, request *connect.Request[wirev1.FindStreamRequest]) (*connect.Response[wirev1.FindStreamReply], error) {
	version, known := h.localState.FindStream(request.Msg.GetStream())
	return connect.NewResponse(&wirev1.FindStreamReply{Known: known, Version: version}), nil
}
