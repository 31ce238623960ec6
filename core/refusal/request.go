package refusal

import "net/http"

// Codes for routing, authentication, queueing and running of requests.
const (
	KeyMissing       Code = "key_missing"
	KeyMalformed     Code = "key_malformed"
	KeyUnknown       Code = "key_unknown"
	BodyTooLarge     Code = "body_too_large"
	BodyInvalid      Code = "body_invalid"
	BodySlow         Code = "body_slow"
	RouteUnknown     Code = "route_unknown"
	ModelUnknown     Code = "model_unknown"
	NoEndpoint       Code = "no_endpoint"
	QueueFull        Code = "queue_full"
	EndpointFailed   Code = "endpoint_failed"
	RunDuplicate     Code = "run_duplicate"
	RunExpired       Code = "run_expired"
	DeadlineExceeded Code = "deadline_exceeded"
	ConfigStale      Code = "config_stale"
	Draining         Code = "draining"
)

var requestReasons = map[Code]Reason{
	KeyMissing:       {http.StatusUnauthorized, typeAuth, "send the team's key once, as Authorization: Bearer KEY"},
	KeyMalformed:     {http.StatusUnauthorized, typeAuth, "send exactly one Authorization header of the form Bearer KEY and no key in the query"},
	KeyUnknown:       {http.StatusUnauthorized, typeAuth, "ask an operator for a new key; this one was withdrawn or never issued"},
	BodyTooLarge:     {http.StatusRequestEntityTooLarge, typeInvalid, "send a body below the entry's limit"},
	BodyInvalid:      {http.StatusUnprocessableEntity, typeInvalid, "correct the field that the message names"},
	BodySlow:         {http.StatusRequestTimeout, typeTimeout, "send the body faster or raise the route's deadline"},
	RouteUnknown:     {http.StatusNotFound, typeInvalid, "use a path that the catalogue names"},
	ModelUnknown:     {http.StatusNotFound, typeInvalid, "use a model that GET /v1/models lists"},
	NoEndpoint:       {http.StatusServiceUnavailable, typeUnavailable, "come back after Retry-After; no endpoint can take the request now"},
	QueueFull:        {http.StatusTooManyRequests, typeRateLimit, "come back after Retry-After; the queues before the endpoints are full"},
	EndpointFailed:   {http.StatusBadGateway, typeUnavailable, "the endpoint failed during the run; repeat only if the request may be repeated"},
	RunDuplicate:     {http.StatusConflict, typeConflict, "the run was seen before and is not run again"},
	RunExpired:       {http.StatusGatewayTimeout, typeTimeout, "send the request again; it reached the endpoint after its deadline"},
	DeadlineExceeded: {http.StatusGatewayTimeout, typeTimeout, "send the request again with a longer deadline, or come back after Retry-After"},
	ConfigStale:      {http.StatusServiceUnavailable, typeUnavailable, "come back after Retry-After; this process cannot show that its configuration is current"},
	Draining:         {http.StatusServiceUnavailable, typeUnavailable, "send the request again; this process is stopping"},
}
