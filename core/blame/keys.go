package blame

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Prefixes of the names by which a Set knows requests as a whole, beside those of parts.
const (
	// requestPrefix stands before the fingerprint of a request's team, path and body.
	requestPrefix = "request:"
	// targetPrefix stands before a fingerprint of the query too, for requests that have one.
	targetPrefix = "target:"
)

// Key returns the name by which a Set knows a part. Callers choose the names of parts, so one that
// is long or looks like that of a request is replaced by its hash.
func Key(part string) string {
	if len(part) <= maxPartBytes && !isRequest(part) {
		return part
	}
	hash := sha256.Sum256([]byte(part))
	return hex.EncodeToString(hash[:16])
}

// RequestKey returns the name by which a Set knows a request, from the fingerprint of its team,
// path and body.
func RequestKey(fingerprint string) string { return requestPrefix + fingerprint }

// TargetKey returns the name by which a Set knows a request, from the fingerprint of its team,
// path, query and body.
func TargetKey(fingerprint string) string { return targetPrefix + fingerprint }

// isRequest reports whether a name is that of a request as a whole.
func isRequest(key string) bool {
	return strings.HasPrefix(key, requestPrefix) || strings.HasPrefix(key, targetPrefix)
}

// keyOfMark returns the name of a mark that another process has sent.
func keyOfMark(name string) string {
	if isRequest(name) && len(name) <= maxPartBytes {
		return name
	}
	return Key(name)
}

// keys returns the names of the parts of a run.
func (r Run) keys() []string {
	keys := make([]string, 0, len(r.Parts))
	for _, part := range r.Parts {
		keys = append(keys, Key(part))
	}
	return keys
}
