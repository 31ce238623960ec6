package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"flamingospar.org/platform/site"
)

// Limits of the question for the start of an endpoint.
const (
	// startTimeout bounds the wait for a report.
	startTimeout = 250 * time.Millisecond
	// unansweredPause is how long an endpoint that did not answer is not asked again.
	unansweredPause = 5 * time.Second
	// maxReportBytes bounds a report. It is small since many connections may be asked at once.
	maxReportBytes = 64 << 10
)

// errStartUnknown means that an endpoint did not say which of its starts a connection leads to.
var errStartUnknown = errors.New("the endpoint does not say when it started; remedy: look at its report")

// StartQuestion asks which start of an endpoint answers on a connection: a connection doesn't
// outlive the process that accepted it, so it is asked once on each, before the first request.
type StartQuestion struct {
	Endpoint string // Its ID.
	// MayAsk, if set, reports whether the endpoint may be sent the question.
	MayAsk func() bool
	// Check decides whether the request may be sent to the start at the given Unix millisecond,
	// 0 if it is not known. Its error, which wraps ErrNotSent, ends the call.
	Check func(startedMS int64) error
}

// checkStart applies the question of a request, if it has one.
func (r Request) checkStart(c *conn) error {
	if r.Start == nil {
		return nil
	}
	return r.Start.Check(c.startedMS)
}

// dialFor opens a connection for a request and asks its question, if it has one. An endpoint that
// does not answer it is connected to without it.
func (p *Pool) dialFor(ctx context.Context, address string, request Request) (*conn, error) {
	c, err := p.dial(ctx, address)
	if err != nil || request.Start == nil || p.isUnanswering(address) || !request.Start.mayAsk() {
		return c, err
	}
	if p.OnAsked != nil {
		p.OnAsked()
	}
	err = c.askStart(ctx, request)
	c.asked = true
	if err == nil || errors.Is(err, errStartUnknown) {
		return c, nil
	}
	c.Close()
	if ctx.Err() != nil {
		return nil, ctx.Err() // The caller has left; the endpoint may have answered.
	}
	p.noteUnanswering(address)
	return p.dial(ctx, address)
}

func (q *StartQuestion) mayAsk() bool { return q.MayAsk == nil || q.MayAsk() }

// askStart reads the report of the endpoint that a new connection leads to. The connection can be
// used after it if the error is nil or errStartUnknown.
func (c *conn) askStart(ctx context.Context, request Request) error {
	stopCancel := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stopCancel()
	_ = c.SetDeadline(time.Now().Add(startTimeout)) // Network connections support deadlines.
	if _, err := io.WriteString(c.Conn, site.ReportRequest(request.Start.Endpoint, c.address)); err != nil {
		return err
	}
	c.limited.setLimit(maxHeaderBytes)
	response, err := c.readFinalHeader(&http.Request{Method: http.MethodGet}, request.observe)
	if err != nil {
		return err
	}
	c.limited.setLimit(maxReportBytes)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.Close || !isFramed(response) || c.reader.Buffered() > 0 {
		return fmt.Errorf("%w: it closes the connection", ErrIncomplete)
	}
	_ = c.SetDeadline(time.Time{})
	if response.StatusCode != http.StatusOK {
		c.answers++ // One without an ID may come once more.
		return errStartUnknown
	}
	startedMS, ok := site.ParseReportedStart(body)
	if !ok {
		return errStartUnknown
	}
	c.startedMS = startedMS
	return nil
}

// isUnanswering reports whether an endpoint did not answer a question a short time ago.
func (p *Pool) isUnanswering(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.unanswering[address]
	if ok && time.Now().After(until) {
		delete(p.unanswering, address)
		return false
	}
	return ok
}

func (p *Pool) noteUnanswering(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswering[address] = time.Now().Add(unansweredPause)
	if p.OnUnanswered != nil {
		p.OnUnanswered()
	}
}
