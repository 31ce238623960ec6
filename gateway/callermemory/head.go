package callermemory

import (
	"bytes"
	"net/http"
)

// What the head of a request costs in memory. It is parsed into a map with a slice for each
// field, and copied for the request that is forwarded.
const (
	costPerHeadByte = 4
	costPerField    = 320
	// socketCost is the cost of the kernel's buffers of a connection while a request of it is
	// served: what the caller sends ahead is not read then, and it may not read its response.
	socketCost = 64 << 10
)

// ReadCost returns what a part of a head costs that was read and is not parsed yet.
func ReadCost(part []byte) int64 {
	return headCost(len(part), bytes.Count(part, []byte("\n")))
}

// RequestCost returns what a request costs whose head is parsed, without its body.
func RequestCost(r *http.Request) int64 {
	size, fields := len(r.RequestURI), 1
	for name, values := range r.Header {
		fields += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return headCost(size, fields) + socketCost
}

func headCost(size, fields int) int64 {
	return int64(costPerHeadByte*size) + int64(costPerField*fields)
}
