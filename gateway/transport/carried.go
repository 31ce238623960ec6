package transport

import (
	"hash/maphash"
	"slices"
)

// maxCarried is the number of requests after which a connection is closed, so that all
// IDs that it has carried are remembered.
const maxCarried = 512

var carriedSeed = maphash.MakeSeed()

// carriedIDs are the IDs of the requests that a connection has carried, as hashes. An
// endpoint may write the response to any of them once more.
type carriedIDs struct {
	hashes []uint64
}

func (c *carriedIDs) add(id string) { c.hashes = append(c.hashes, maphash.String(carriedSeed, id)) }

// has reports whether the connection has carried a request with an ID. It may also
// report so for one of the same hash.
func (c *carriedIDs) has(id string) bool {
	return len(c.hashes) > 0 && (id == "" || slices.Contains(c.hashes, maphash.String(carriedSeed, id)))
}

// full reports whether the connection may carry no more requests.
func (c *carriedIDs) full() bool { return len(c.hashes) >= maxCarried }
