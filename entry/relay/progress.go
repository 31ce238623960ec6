package relay

import (
	"flamingospar.org/entry/render"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// progress passes an answer on over all attempts and keeps what the caller has.
type progress struct {
	answer  render.Answer
	headed  bool
	tokens  int64
	text    []byte // Of a generation, so that another engine can continue it.
	bytes   int64
	isModel bool
}

// Head implements dispatch.Sink.
func (p *progress) Head(head *wirev1.Head) error {
	p.headed = true
	return p.answer.Head(head)
}

// Chunk implements dispatch.Sink.
func (p *progress) Chunk(chunk *wirev1.Chunk) error {
	p.tokens += int64(chunk.Tokens)
	p.bytes += int64(len(chunk.Data))
	if p.isModel {
		p.text = append(p.text, chunk.Data...)
	}
	return p.answer.Chunk(chunk)
}

// received reports whether a part of the answer has come.
func (p *progress) received() bool { return p.headed || p.bytes > 0 }

// continueIn makes start continue the answer after what has come.
func (p *progress) continueIn(start *wirev1.RunStart) {
	start.ResumeTokens = p.tokens
	start.ResumeOffset = p.bytes
	start.ResumeText = p.text
	if p.received() {
		start.FirstTokenMillis = 0
	}
}
