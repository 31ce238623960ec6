package refusal

import "net/http"

// Codes for rate limits, fair sharing and early refusal.
const (
	OverRequestRate Code = "over_request_rate"
	OverTokenRate   Code = "over_token_rate"
	OverConcurrency Code = "over_concurrency"
	OverShare       Code = "over_share"
	FirstTokenLate  Code = "first_token_late"
)

var policyReasons = map[Code]Reason{
	OverRequestRate: {http.StatusTooManyRequests, typeRateLimit, "come back after Retry-After, or ask an operator to raise the team's requests_per_second"},
	OverTokenRate:   {http.StatusTooManyRequests, typeRateLimit, "come back after Retry-After, or ask an operator to raise the team's tokens_per_second"},
	OverConcurrency: {http.StatusTooManyRequests, typeRateLimit, "wait for an answer of the team's, or ask an operator to raise its concurrent limit"},
	OverShare:       {http.StatusTooManyRequests, typeRateLimit, "come back after Retry-After; the team has more waiting than its share and others go first"},
	FirstTokenLate:  {http.StatusTooManyRequests, typeRateLimit, "come back after Retry-After; the first token could not have come in time"},
}
