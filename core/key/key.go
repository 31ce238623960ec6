// Package key formats and validates the secrets that are issued to callers and
// operators: a prefix and 160 random bits in base 32.
package key

import (
	"bytes"
	"encoding/base32"
	"strings"
)

// Prefixes of secrets.
const (
	CallerPrefix   = "fsk_"
	OperatorPrefix = "fso_"
)

// RandomBytes is the number of random bytes in a secret.
const RandomBytes = 20

// encodedLength is the length of a secret without its prefix.
const encodedLength = 32

var encoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Format returns the secret with the prefix and random bytes.
func Format(prefix string, random [RandomBytes]byte) string {
	return prefix + encoding.EncodeToString(random[:])
}

// IsValid reports whether text has the form of a secret with the prefix.
func IsValid(prefix, text string) bool {
	encoded, ok := strings.CutPrefix(text, prefix)
	return ok && len(encoded) == encodedLength && isEncoded(encoded)
}

// ContainsCallerKey reports whether data contains a caller's key at any position.
func ContainsCallerKey(data []byte) bool {
	for {
		at := bytes.Index(data, []byte(CallerPrefix))
		if at < 0 {
			return false
		}
		data = data[at+len(CallerPrefix):]
		if len(data) >= encodedLength && isEncoded(string(data[:encodedLength])) {
			return true
		}
	}
}

func isEncoded(text string) bool {
	for i := range len(text) {
		letter := text[i] >= 'a' && text[i] <= 'z'
		digit := text[i] >= '2' && text[i] <= '7'
		if !letter && !digit {
			return false
		}
	}
	return true
}
