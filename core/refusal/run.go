package refusal

import "net/http"

// Codes for runs, retries, idempotency claims and crash marks.
const (
	EndpointCrashed     Code = "endpoint_crashed"
	EndpointDown        Code = "endpoint_down"
	EndpointSilent      Code = "endpoint_silent"
	EndpointRejected    Code = "endpoint_rejected"
	ResumeInconsistent  Code = "resume_inconsistent"
	RunOtherInstance    Code = "run_other_instance"
	RunCancelled        Code = "run_cancelled"
	CallerLeft          Code = "caller_left"
	RequestCrashes      Code = "request_crashes_endpoints"
	IdempotencyInvalid  Code = "idempotency_key_invalid"
	IdempotencyMismatch Code = "idempotency_key_reused"
	IdempotencyRunning  Code = "idempotency_in_progress"
	IdempotencyUnknown  Code = "idempotency_outcome_unknown"
	IdempotencyNoAnswer Code = "idempotency_answer_not_stored"
	StoreUnavailable    Code = "store_unavailable"
)

var runReasons = map[Code]Reason{
	EndpointCrashed:     {http.StatusBadGateway, typeUnavailable, "the endpoint crashed during the run; repeat only if the request may be repeated"},
	EndpointDown:        {http.StatusServiceUnavailable, typeUnavailable, "come back after Retry-After; the endpoint does not accept connections"},
	EndpointSilent:      {http.StatusGatewayTimeout, typeTimeout, "the connection to the endpoint went silent; repeat only if the request may be repeated"},
	EndpointRejected:    {http.StatusBadRequest, typeInvalid, "correct the request; the endpoint did not accept its body"},
	ResumeInconsistent:  {http.StatusBadGateway, typeUnavailable, "send the request again; another endpoint would have continued with another answer"},
	RunOtherInstance:    {http.StatusServiceUnavailable, typeUnavailable, "send the request again; the agent has restarted"},
	RunCancelled:        {http.StatusGatewayTimeout, typeTimeout, "send the request again; its run was cancelled"},
	CallerLeft:          {http.StatusRequestTimeout, typeTimeout, "keep the connection open and read the answer until its end"},
	RequestCrashes:      {http.StatusUnprocessableEntity, typeInvalid, "do not send this request again; endpoints crashed while they ran it; an operator can clear it with `flamingospar crash clear`"},
	IdempotencyInvalid:  {http.StatusBadRequest, typeInvalid, "send one Idempotency-Key header of 1 to 255 printable ASCII characters"},
	IdempotencyMismatch: {http.StatusUnprocessableEntity, typeInvalid, "use a new Idempotency-Key for another request"},
	IdempotencyRunning:  {http.StatusConflict, typeConflict, "come back after Retry-After with the same key; the first submission is still running"},
	IdempotencyUnknown:  {http.StatusConflict, typeConflict, "ask an operator to look at the service and use `flamingospar request settle`; the run may have taken effect and is not repeated"},
	IdempotencyNoAnswer: {http.StatusConflict, typeConflict, "do not repeat the request; it ran, but its answer is not stored"},
	StoreUnavailable:    {http.StatusServiceUnavailable, typeUnavailable, "come back after Retry-After with the same key; a request that may not be repeated needs the table service"},
}
