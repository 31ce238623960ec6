package refusal

import "net/http"

// Codes for malformed requests.
const (
	KeyMisplaced     Code = "key_misplaced"
	HeaderInvalid    Code = "header_invalid"
	MethodNotAllowed Code = "method_not_allowed"
	FieldUnsupported Code = "field_unsupported"
	BodyIncomplete   Code = "body_incomplete"
)

var formReasons = map[Code]Reason{
	KeyMisplaced:     {http.StatusUnauthorized, typeAuth, "send the key in the Authorization header only and ask an operator to replace this one, since it may have been logged"},
	HeaderInvalid:    {http.StatusUnprocessableEntity, typeInvalid, "leave the header out"},
	MethodNotAllowed: {http.StatusMethodNotAllowed, typeInvalid, "use a method that the Allow header lists"},
	FieldUnsupported: {http.StatusUnprocessableEntity, typeInvalid, "leave the field out or give it its default"},
	BodyIncomplete:   {http.StatusUnprocessableEntity, typeInvalid, "send the whole body with a true Content-Length"},
}
