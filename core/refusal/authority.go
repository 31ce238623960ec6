package refusal

import "net/http"

// Codes for endpoints that are changing or were replaced at their address.
const (
	EndpointChanging Code = "endpoint_changing"
	WrongEndpoint    Code = "wrong_endpoint"
)

var authorityReasons = map[Code]Reason{
	EndpointChanging: {http.StatusServiceUnavailable, typeUnavailable, "send the request again; the endpoint changes its role, model or version"},
	WrongEndpoint:    {http.StatusServiceUnavailable, typeUnavailable, "send the request again; another endpoint took over this address"},
}
