// Package relay runs callers' requests on endpoints: it chooses where each
// attempt goes, decides whether another may follow, and passes the answer on.
//
// A request that may not be repeated is sent on only while it is certain that
// no endpoint has begun it. What callers are told follows from that: "not run"
// (503, with a time to come back) only when no endpoint can have begun it.
package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"flamingospar.org/base/meter"
	"flamingospar.org/core/retrybudget"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/link"
	"flamingospar.org/platform/site"
)

// Limits of one request's attempts.
const (
	// maxSends bounds how often a request is sent, refusals included.
	maxSends = 4
	// minRemaining is the least time in which an attempt is worth starting.
	minRemaining = 15 * time.Millisecond
	// freshIdle bounds how long a connection may have been idle that carries a
	// request which may not be repeated: an endpoint that closes it meanwhile
	// would leave open whether the request ran.
	freshIdle = 400 * time.Millisecond
	// maxPlainAnswer is the largest answer that is held back until it is whole,
	// in bytes. A longer one is passed on as it comes.
	maxPlainAnswer = 256 << 10
	// minRetryIn and retrySpread are when a refused caller may come back.
	minRetryIn  = 200 * time.Millisecond
	retrySpread = 300 * time.Millisecond
	// slowShare is the part of the objective after which a repeatable request
	// is given up at one endpoint and sent to another.
	slowShare = 0.9
)

// Began hears of each request that began to run.
type Began func(team string)

// Relay is safe for concurrent use.
type Relay struct {
	Pool    *link.Pool
	Engines *engines.Ledger
	Meter   *meter.Registry
	Began   Began
	Budgets *Budgets
	// Broke hears of each run whose connection broke before the whole answer.
	Broke func(*Job, site.Endpoint)
	// Read hears of each prompt that was read, how long that was expected to take
	// and how long it took.
	Read func(predicted, took time.Duration)
}

// Budgets holds the retry budget of each service.
type Budgets struct {
	mu       sync.Mutex
	settings retrybudget.Settings
	services map[string]*retrybudget.Budget
}

// NewBudgets returns budgets that all have the same settings.
func NewBudgets(settings retrybudget.Settings) *Budgets {
	return &Budgets{settings: settings, services: make(map[string]*retrybudget.Budget)}
}

// Set changes the settings of all budgets.
func (b *Budgets) Set(settings retrybudget.Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = settings
	for _, budget := range b.services {
		budget.Set(settings)
	}
}

func (b *Budgets) of(service string) *retrybudget.Budget {
	budget, ok := b.services[service]
	if !ok {
		budget = retrybudget.New(b.settings)
		b.services[service] = budget
	}
	return budget
}

func (b *Budgets) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).AddRequest(time.Now())
}

func (b *Budgets) take(service string, calls int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Take(time.Now(), calls)
}

// Serve runs a job and answers its caller.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, job *Job) Outcome {
	r.Budgets.request(job.Service)
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	if job.Route.Kind == site.Stream {
		return r.serveStream(ctx, w, job)
	}
	return r.servePlain(ctx, w, job)
}

// retryIn returns when a refused caller may come back, spread so that those
// refused together do not return together.
func retryIn(least time.Duration) time.Duration {
	return max(least, minRetryIn) + rand.N(retrySpread)
}

// progress is what is known of a job between its attempts.
type progress struct {
	Outcome
	exclude map[string]bool
	sends   int // Attempts that may have reached an endpoint.
	runs    int // Endpoints that ran it or may have.
}

// mayTryAgain decides whether another attempt may follow, and pays for it.
func (r *Relay) mayTryAgain(job *Job, p *progress, sent bool) bool {
	if p.Ran && !job.Repeatable() {
		return false
	}
	if p.sends >= maxSends || p.runs >= job.Route.MaxAttempts || job.remaining(time.Now()) < minRemaining {
		return false
	}
	if !sent {
		return true
	}
	if !r.Budgets.take(job.Service, 1) {
		r.Meter.Count("retry", "denied", "budget")
		return false
	}
	r.Meter.Count("retry", "sent")
	return true
}

// end answers a caller whose request no endpoint has answered.
func (p *progress) end(ctx context.Context, w http.ResponseWriter, job *Job, reason Reason, least time.Duration) Outcome {
	var outcome Outcome
	switch {
	case ctx.Err() != nil && time.Now().Before(job.Deadline):
		outcome = Outcome{Reason: ReasonCallerLeft, Ran: p.Ran}
	case !p.Ran:
		outcome = refuse(w, job, reason, retryIn(least))
	case time.Now().After(job.Deadline):
		outcome = fail(w, job, ReasonDeadline)
	default:
		outcome = fail(w, job, ReasonMayHaveRun)
	}
	outcome.Attempts, outcome.Endpoint, outcome.Prefill, outcome.Err = p.sends, p.Endpoint, p.Prefill, p.Err
	outcome.Calls, outcome.Level, outcome.Fetched, outcome.Prediction = p.Calls, p.Level, p.Fetched, p.Prediction
	return outcome
}

// servePlain runs a request whose answer is not a stream.
func (r *Relay) servePlain(ctx context.Context, w http.ResponseWriter, job *Job) Outcome {
	p := &progress{exclude: make(map[string]bool)}
	for {
		endpoint, done, ok := r.Engines.Plain(job.Service, p.exclude)
		if !ok {
			reason := ReasonNoEndpoint
			if p.sends > 0 {
				reason = ReasonEndpointsNo
			}
			return p.end(ctx, w, job, reason, 0)
		}
		p.Endpoint = endpoint.ID
		result := r.tryPlain(ctx, w, job, endpoint, p)
		done()
		if result.answered {
			outcome := p.Outcome
			outcome.Attempts = p.sends
			return outcome
		}
		p.exclude[endpoint.ID] = true
		if ctx.Err() != nil || !r.mayTryAgain(job, p, result.sent) {
			return p.end(ctx, w, job, ReasonEndpointsNo, 0)
		}
	}
}

// tried is what one attempt came to.
type tried struct {
	answered bool // The caller has its answer.
	sent     bool // It may have reached the endpoint.
}

func (r *Relay) tryPlain(ctx context.Context, w http.ResponseWriter, job *Job, endpoint site.Endpoint, p *progress) tried {
	attemptCtx, cancel := r.plainLimit(ctx, job, p)
	defer cancel()
	request := r.request(job, site.Run{EndpointID: endpoint.ID, Team: job.Team, Remaining: job.remaining(time.Now()), Priority: -1}, job.Body)
	if !job.Repeatable() {
		request.MaxIdle = freshIdle
	}
	began := time.Now()
	answer, err := r.Pool.Send(attemptCtx, endpoint.Address, request)
	if err != nil {
		p.called(endpoint.ID, began, resultOf(ctx, err))
	}
	if errors.Is(err, link.ErrNotSent) {
		p.Err = err
		if ctx.Err() == nil {
			r.Engines.Note(endpoint.ID, engines.Unreachable)
		}
		return tried{}
	}
	p.sends++
	if err != nil {
		p.runs++
		return r.plainBroken(ctx, job, endpoint, p, err)
	}
	defer answer.Close()
	if answer.Meta.NotRun {
		p.called(endpoint.ID, began, ResultRefused)
		r.noteRefusal(endpoint, answer)
		_, _ = io.CopyN(io.Discard, answer, maxPlainAnswer)
		return tried{sent: true}
	}
	r.Began(job.Team)
	p.Ran = true
	p.runs++
	body, whole, err := readWhole(answer)
	if err != nil {
		p.called(endpoint.ID, began, resultOf(ctx, err))
		return r.plainBroken(ctx, job, endpoint, p, err)
	}
	p.called(endpoint.ID, began, answeredAs(answer.Status))
	if answer.Status >= http.StatusInternalServerError {
		r.Engines.Note(endpoint.ID, engines.Faulty)
		if job.Repeatable() && p.runs < job.Route.MaxAttempts && ctx.Err() == nil && r.mayTryAgain(job, p, true) {
			p.exclude[endpoint.ID] = true
			return r.tryElsewhere(ctx, w, job, p, answer, body)
		}
	} else {
		r.Engines.Note(endpoint.ID, engines.Sound)
	}
	p.First = time.Since(job.Arrived)
	p.Status = answer.Status
	passOn(w, answer, body, whole)
	return tried{answered: true, sent: true}
}

// tryElsewhere repeats a request that an endpoint answered with a failure, and
// passes that failure on when no other endpoint does better.
func (r *Relay) tryElsewhere(ctx context.Context, w http.ResponseWriter, job *Job, p *progress, failed *link.Answer, body []byte) tried {
	endpoint, done, ok := r.Engines.Plain(job.Service, p.exclude)
	if ok {
		defer done()
		p.Endpoint = endpoint.ID
		if result := r.tryPlain(ctx, w, job, endpoint, p); result.answered {
			return result
		}
	}
	if ctx.Err() != nil {
		return tried{sent: true}
	}
	p.First = time.Since(job.Arrived)
	p.Status = failed.Status
	passOn(w, failed, body, true)
	return tried{answered: true, sent: true}
}

// answeredAs returns the result of a call that got a whole answer.
func answeredAs(status int) Result {
	if status >= http.StatusInternalServerError {
		return ResultFailed
	}
	return ResultAnswered
}

// plainLimit bounds an attempt that another may follow, so that an endpoint
// which does not answer leaves time for one that does.
func (r *Relay) plainLimit(ctx context.Context, job *Job, p *progress) (context.Context, context.CancelFunc) {
	if !job.Repeatable() || p.runs+1 >= job.Route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	limit := time.Duration(slowShare * float64(job.Route.Objective))
	return context.WithTimeout(ctx, limit)
}

func (r *Relay) plainBroken(ctx context.Context, job *Job, endpoint site.Endpoint, p *progress, err error) tried {
	p.Err = err
	p.Ran = true
	if ctx.Err() == nil {
		r.Engines.Note(endpoint.ID, faultOf(err))
		r.Broke(job, endpoint)
	}
	return tried{sent: true}
}

// faultOf returns what an answer that broke says of its endpoint.
func faultOf(err error) engines.Result {
	if errors.Is(err, link.ErrOverlong) {
		return engines.Overlong
	}
	return engines.Faulty
}

// noteRefusal records that an endpoint refused a request without running it.
func (r *Relay) noteRefusal(endpoint site.Endpoint, answer *link.Answer) {
	r.Meter.Count("endpoint", "refused")
	if answer.Meta.Misplaced {
		r.Engines.Note(endpoint.ID, engines.Unreachable)
		r.Pool.Forget(endpoint.Address)
		return
	}
	r.Engines.Note(endpoint.ID, engines.Busy)
}

// request returns the request of one attempt.
func (r *Relay) request(job *Job, run site.Run, body []byte) link.Request {
	header := job.Header.Clone()
	run.Apply(header)
	return link.Request{ID: job.Caller.ID, Method: job.Method, Target: job.Target, Host: job.Host, Header: header, Body: body}
}

// readWhole reads a body up to maxPlainAnswer. whole is false when there is more.
func readWhole(answer *link.Answer) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(answer, maxPlainAnswer))
	if err != nil {
		return nil, false, err
	}
	return body, len(body) < maxPlainAnswer, nil
}

// passOn sends an answer to the caller.
func passOn(w http.ResponseWriter, answer *link.Answer, body []byte, whole bool) {
	header := w.Header()
	site.CopyAnswerHeaders(header, answer.Header)
	suppressDefaults(header)
	if whole && answer.Status >= http.StatusOK && answer.Status != http.StatusNoContent {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(answer.Status)
	if _, err := w.Write(body); err != nil {
		return // The caller has left.
	}
	if whole {
		return
	}
	if _, err := io.Copy(w, answer); err != nil {
		panic(http.ErrAbortHandler) // The answer must not look complete.
	}
}

// suppressDefaults keeps net/http from adding headers that the endpoint did not send.
func suppressDefaults(header http.Header) {
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}
