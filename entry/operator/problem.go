package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"flamingospar.org/core/config"
	"flamingospar.org/core/strict"
	"flamingospar.org/entry/configview"
)

// maxBodyBytes is the maximum size of a request body. A catalogue of tens of
// thousands of teams fits into it.
const maxBodyBytes = 16 << 20

// Code identifies why an operator's request was refused.
type Code string

const (
	codeCredential  Code = "credential"
	codeRole        Code = "role"
	codeNotFound    Code = "not_found"
	codeMethod      Code = "method"
	codeBody        Code = "body"
	codeCatalogue   Code = "catalogue"
	codeTeam        Code = "team"
	codeKey         Code = "key"
	codeRaced       Code = "raced"
	codeIDTaken     Code = "taken"
	codeRevision    Code = "revision"
	codeClaim       Code = "claim"
	codeMark        Code = "mark"
	codeNoConfig    Code = "no_config"
	codeUnavailable Code = "unavailable"
)

// codes lists all codes, so that a counter is declared for each of them.
var codes = []Code{
	codeCredential, codeRole, codeNotFound, codeMethod, codeBody, codeCatalogue, codeTeam, codeKey, codeRaced, codeIDTaken, codeRevision, codeClaim, codeMark, codeNoConfig, codeUnavailable,
}

type reason struct {
	status int
	remedy string
}

var reasons = map[Code]reason{
	codeCredential:  {http.StatusUnauthorized, "send the credential once, as Authorization: Bearer CREDENTIAL"},
	codeRole:        {http.StatusForbidden, "use a credential with that role"},
	codeNotFound:    {http.StatusNotFound, "see docs/operators for the paths"},
	codeMethod:      {http.StatusMethodNotAllowed, "see docs/operators for the methods"},
	codeBody:        {http.StatusUnprocessableEntity, "correct the body"},
	codeCatalogue:   {http.StatusUnprocessableEntity, "correct each problem and send the whole catalogue again; nothing was applied"},
	codeTeam:        {http.StatusUnprocessableEntity, "use a team that the catalogue in force names"},
	codeKey:         {http.StatusNotFound, "use an id that the list of keys shows"},
	codeRaced:       {http.StatusConflict, "look at the change that came first and send yours again; nothing was applied"},
	codeIDTaken:     {http.StatusConflict, "send the change with a new id; nothing was applied"},
	codeRevision:    {http.StatusNotFound, "use a revision that the history shows"},
	codeClaim:       {http.StatusUnprocessableEntity, "state the outcome of a claim that the list of unknown ones shows"},
	codeMark:        {http.StatusNotFound, "use a fingerprint that the list of crashes shows"},
	codeNoConfig:    {http.StatusServiceUnavailable, "ask another entry; this one holds no configuration yet"},
	codeUnavailable: {http.StatusServiceUnavailable, "look at the history before you send the change again; the store may have taken it"},
}

// Problem is the error in the response to a refused request.
type Problem struct {
	Code     Code            `json:"code"`
	Message  string          `json:"message"`
	Problems strict.Problems `json:"problems,omitempty"`
}

// Error returns the message, which includes a remedy.
func (p *Problem) Error() string { return p.Message }

// ProblemBody is the response body of a refused request.
type ProblemBody struct {
	Error *Problem `json:"error"`
}

func newProblem(code Code, format string, args ...any) *Problem {
	return &Problem{Code: code, Message: fmt.Sprintf(format, args...) + "; " + reasons[code].remedy}
}

func (a *API) writeProblem(w http.ResponseWriter, p *Problem) {
	a.meter.Count("operators", "refused", string(p.Code))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(reasons[p.Code].status)
	_ = json.NewEncoder(w).Encode(ProblemBody{Error: p})
}

// writeError responds to a failed read or write of the configuration.
func (a *API) writeError(w http.ResponseWriter, err error) {
	var problems strict.Problems
	switch {
	case errors.As(err, &problems):
		p := newProblem(codeCatalogue, "the catalogue has %d problems", len(problems))
		p.Problems = problems
		a.writeProblem(w, p)
	case errors.Is(err, configview.ErrRaced):
		a.writeProblem(w, newProblem(codeRaced, "another change was accepted first"))
	case errors.Is(err, config.ErrKeyExists), errors.Is(err, configview.ErrIDReused):
		a.writeProblem(w, newProblem(codeIDTaken, "%v", err))
	case errors.Is(err, config.ErrKeyUnknown):
		a.writeProblem(w, newProblem(codeKey, "no key in force has this id"))
	case errors.Is(err, configview.ErrNoCatalogue):
		a.writeProblem(w, newProblem(codeRevision, "no catalogue is stored for this revision"))
	case errors.Is(err, config.ErrExactlyOneField):
		a.writeProblem(w, newProblem(codeBody, "%v", err))
	default:
		a.writeProblem(w, newProblem(codeUnavailable, "the store did not accept the change: %v", err))
	}
}

func (a *API) decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		a.writeProblem(w, newProblem(codeBody, "the body is not valid: %v", err))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
