package relay

import (
	"flamingospar.org/entry/render"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// progress forwards a response across all attempts and records how much of it
// the caller has received.
type progress struct {
	response     render.Response
	headReceived bool
	tokens       int64
	text         []byte // The text generated so far, from which another engine can continue.
	bytes        int64
	isModel      bool
}

// Head forwards the status and headers.
func (p *progress) Head(head *wirev1.Head) error {
	p.headReceived = true
	return p.response.Head(head)
}

// Chunk records and forwards a part of the body.
func (p *progress) Chunk(chunk *wirev1.Chunk) error {
	p.tokens += int64(chunk.Tokens)
	p.bytes += int64(len(chunk.Data))
	if p.isModel {
		p.text = append(p.text, chunk.Data...)
	}
	return p.response.Chunk(chunk)
}

// received reports whether any part of the response has arrived.
func (p *progress) received() bool { return p.headReceived || p.bytes > 0 }

// setResume makes start continue the response after the part that has arrived.
func (p *progress) setResume(start *wirev1.RunStart) {
	start.ResumeTokens = p.tokens
	start.ResumeOffset = p.bytes
	start.ResumeText = p.text
	if p.received() {
		start.FirstTokenMillis = 0
	}
}
